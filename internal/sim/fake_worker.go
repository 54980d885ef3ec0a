package sim

import (
	"fmt"
	"sort"
	"time"

	"dewlift/core"
	"dewlift/wire"
)

const (
	heartbeatTimeout   = 4 * time.Second
	leaseCheckPeriod   = 100 * time.Millisecond // of a worker's own lease
	maxTaskRuntime     = 25 * time.Second
	maxLongTaskRuntime = 80 * time.Second // with Options.LongTasks
)

// fakeTask is an attempt of a task on a machine.
type fakeTask struct {
	job        string
	task       int
	attempt    uint64
	stage      string
	cause      string
	generation int // counts changes, so that timers set before a change do nothing
}

// fakeWorker is a fake of a machine with its agent.
type fakeWorker struct {
	sim               *Simulator
	machine           wire.Machine
	provisionedAt     time.Duration
	goneAt            time.Duration
	up                bool
	gone              bool
	failed            bool
	scaledIn          bool
	hungUntil         time.Duration // the machine is suspended until then
	incarnation       uint64
	seq               uint64
	fencingToken      uint64
	lastAckedAt       time.Duration        // when the last acknowledged heartbeat was sent, or the incarnation began
	interruptionAt    time.Duration        // when a spot machine with notice ends; 0: no notice
	tasks             map[string]*fakeTask // by task name and attempt
	images            map[string]bool      // pulled images
	cleared           map[string]bool      // attempts that were cleared, by task name and attempt
	controllerIndex   int                  // the controller that gets the next heartbeat
	heartbeatInFlight bool
}

// start finishes the boot of the machine.
func (m *fakeWorker) start() {
	if m.gone {
		return
	}
	m.up, m.incarnation, m.lastAckedAt = true, 1, m.sim.now
	m.machine.Stage = wire.MachineRunning
	m.controllerIndex = m.sim.rng.IntN(len(m.sim.nodes))
	m.heartbeatLoop()
	m.leaseCheckLoop()
}

// hangFor suspends the machine for a duration; commands that arrive meanwhile are executed afterwards.
func (m *fakeWorker) hangFor(duration time.Duration) {
	m.hungUntil = max(m.hungUntil, m.sim.now+duration)
}

// scaleIn ends the machine on a controller's request.
func (m *fakeWorker) scaleIn() {
	m.scaledIn = true
	if !m.gone {
		m.terminate()
	}
}

// fail ends the machine; the cloud lists it as failed.
func (m *fakeWorker) fail() {
	m.terminate()
	m.failed = true
}

// terminate ends the machine and the tasks on it.
func (m *fakeWorker) terminate() {
	for _, key := range m.taskKeys() {
		m.reportTaskStopped(m.tasks[key])
	}
	m.tasks = map[string]*fakeTask{}
	m.gone, m.up, m.goneAt = true, false, m.sim.now
}

// reclaimSpot interrupts a spot machine, mostly with notice.
func (m *fakeWorker) reclaimSpot() {
	if m.gone {
		return
	}
	if m.sim.chance(0.7) {
		notice := m.sim.randomDuration(4*time.Second, 12*time.Second)
		m.interruptionAt = m.sim.now + notice
		m.sim.schedule(notice, func() {
			if !m.gone {
				m.terminate()
			}
		})
		return
	}
	m.terminate()
}

// taskKeys returns the keys of all tasks in order.
func (m *fakeWorker) taskKeys() []string {
	var keys []string
	for key := range m.tasks {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// reportTaskStopped tells the checker that a task no longer runs, if it ran.
func (m *fakeWorker) reportTaskStopped(task *fakeTask) {
	if task.stage == wire.TaskRunning || task.stage == wire.TaskCheckpointing {
		m.sim.Checker.TaskStopped(task.job, task.task, m.machine.Name)
	}
}

// leaseCheckLoop stops all tasks and begins a new incarnation if no heartbeat was acknowledged for the duration of a
// lease: controllers may start the tasks elsewhere from then on.
func (m *fakeWorker) leaseCheckLoop() {
	if m.gone {
		return
	}
	if m.sim.now >= m.hungUntil && m.sim.now-m.lastAckedAt > m.sim.options.WorkerLease {
		for _, key := range m.taskKeys() {
			m.reportTaskStopped(m.tasks[key])
			m.tasks[key].generation++
		}
		m.tasks = map[string]*fakeTask{}
		m.incarnation++
		m.lastAckedAt = m.sim.now
	}
	m.sim.schedule(leaseCheckPeriod, m.leaseCheckLoop)
}

// heartbeatLoop sends heartbeats periodically, with jitter.
func (m *fakeWorker) heartbeatLoop() {
	if m.gone {
		return
	}
	m.sendHeartbeat()
	m.sim.schedule(m.sim.randomDuration(heartbeatInterval*3/4, heartbeatInterval*5/4), m.heartbeatLoop)
}

// nextHeartbeat returns a heartbeat with the status of all tasks.
func (m *fakeWorker) nextHeartbeat() *wire.Heartbeat {
	m.seq++
	heartbeat := &wire.Heartbeat{
		Machine:      m.machine.Name,
		Addr:         m.machine.Addr,
		Type:         m.machine.Type,
		Zone:         m.machine.Zone,
		Spot:         m.machine.Spot,
		Incarnation:  m.incarnation,
		Sequence:     m.seq,
		FencingToken: m.fencingToken,
	}
	if m.interruptionAt > 0 {
		seconds := (m.interruptionAt - m.sim.now).Seconds()
		heartbeat.InterruptionNoticeS = &seconds
	}
	for _, key := range m.taskKeys() {
		task := m.tasks[key]
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Task: wire.TaskName(task.job, task.task), Attempt: task.attempt, Stage: task.stage, Cause: task.cause,
		})
	}
	return heartbeat
}

// sendHeartbeat sends a heartbeat to the current controller, one at a time. Without a successful response, it sends one
// to the next controller after a second.
func (m *fakeWorker) sendHeartbeat() {
	sim := m.sim
	if m.gone || m.heartbeatInFlight || sim.now < m.hungUntil {
		return
	}
	m.heartbeatInFlight = true
	controller := sim.nodes[m.controllerIndex]
	heartbeat := m.nextHeartbeat()
	sentAt, incarnation := sim.now, m.incarnation
	finished := false
	finish := func(response core.Response, ok bool) {
		if finished || m.gone {
			return
		}
		finished = true
		m.heartbeatInFlight = false
		m.handleHeartbeatResponse(sentAt, incarnation, response, ok)
	}
	sim.schedule(heartbeatTimeout, func() { finish(core.Response{}, false) })
	sim.send(m.machine.Name, controller.name, func() {
		if controller.down || sim.now < sim.outboundBlockedUntil[m.machine.Name] {
			sim.schedule(time.Millisecond, func() { finish(core.Response{}, false) })
			return
		}
		sim.onHeartbeat(heartbeat)
		sim.lastRequestID++
		requestID := sim.lastRequestID
		controller.pendingRequests[requestID] = func(response core.Response) {
			sim.send(controller.name, m.machine.Name, func() { finish(response, true) })
		}
		sim.deliver(controller, core.AgentHeartbeat{RequestID: requestID, Heartbeat: heartbeat})
		sim.copyLater(copyRoute{kind: copyHeartbeat, from: m.machine.Name, to: controller.name}, func() {
			sim.deliverHeartbeatCopy(controller, heartbeat)
		})
	})
}

// handleHeartbeatResponse renews the lease from the moment at which the heartbeat was sent, and executes the
// commands. A response with a lower fencing token, to an earlier incarnation or to a suspended machine has no effect.
func (m *fakeWorker) handleHeartbeatResponse(
	sentAt time.Duration,
	incarnation uint64,
	response core.Response,
	ok bool,
) {
	body, isHeartbeat := response.Body.(wire.HeartbeatResponse)
	if !ok || response.Status != wire.StatusOK || !isHeartbeat {
		m.controllerIndex = (m.controllerIndex + 1) % len(m.sim.nodes)
		m.sim.schedule(time.Second, m.sendHeartbeat)
		return
	}
	if body.FencingToken < m.fencingToken || incarnation != m.incarnation || m.sim.now < m.hungUntil {
		return
	}
	m.fencingToken = body.FencingToken
	m.lastAckedAt = sentAt
	m.executeCommands(body.Commands)
}

// handleCommands executes commands that a controller sent directly. A suspended machine executes them when it resumes.
func (m *fakeWorker) handleCommands(batch wire.CommandBatch) (wire.Status, *wire.Heartbeat) {
	if m.gone || !m.up {
		return wire.StatusNoResponse, nil
	}
	if m.sim.now < m.hungUntil {
		m.sim.schedule(m.hungUntil-m.sim.now+time.Millisecond, func() { m.handleCommands(batch) })
		return wire.StatusNoResponse, nil
	}
	if batch.FencingToken < m.fencingToken || batch.Incarnation != m.incarnation {
		return wire.StatusConflict, m.nextHeartbeat()
	}
	m.fencingToken = batch.FencingToken
	m.executeCommands(batch.Commands)
	return wire.StatusOK, m.nextHeartbeat()
}

// executeCommands executes commands in order; each is idempotent.
func (m *fakeWorker) executeCommands(commands []wire.Command) {
	for _, command := range commands {
		key := fmt.Sprintf("%s#%d", command.Task, command.Attempt)
		task := m.tasks[key]
		switch command.Op {
		case wire.OpStart:
			if task == nil {
				m.checkNotCleared(key)
				m.startTask(key, command)
			}
		case wire.OpStop:
			if task != nil && task.stage != wire.TaskExited {
				m.exitTask(task, wire.CauseStopped)
			}
		case wire.OpClear:
			if task != nil && task.stage == wire.TaskExited {
				delete(m.tasks, key)
				m.cleared[key] = true
			}
		}
	}
}

// checkNotCleared reports a start of an attempt that was cleared: the attempt is over, so only a late copy of its
// start command can cause that.
func (m *fakeWorker) checkNotCleared(key string) {
	if m.cleared[key] {
		m.sim.Checker.violated("started_again", "%s starts on %s after it was cleared there", key, m.machine.Name)
	}
}

// exitTask ends an attempt with a cause.
func (m *fakeWorker) exitTask(task *fakeTask, cause string) {
	m.reportTaskStopped(task)
	task.stage, task.cause = wire.TaskExited, cause
	task.generation++
}

// startTask admits a task, pulls its image and runs it.
func (m *fakeWorker) startTask(key string, command wire.Command) {
	jobID, index, _ := wire.SplitTaskName(command.Task)
	task := &fakeTask{job: jobID, task: index, attempt: command.Attempt, stage: wire.TaskPullingImage}
	m.tasks[key] = task
	job := m.sim.Checker.jobs[jobID]
	if job == nil {
		m.exitTask(task, wire.CauseNoSuchTask)
		return
	}
	if m.runsOtherAttempt(task) {
		m.exitTask(task, wire.CauseBusy)
		return
	}
	if m.freeCPU() < 0 {
		m.exitTask(task, wire.CauseNoCapacity)
		return
	}
	pullTime := time.Duration(0)
	if !m.images[job.spec.Image] {
		pullTime = m.sim.randomDuration(500*time.Millisecond, 4*time.Second)
	}
	generation := task.generation
	m.sim.schedule(pullTime, func() {
		if !m.gone && task.generation == generation {
			m.runTask(task, job)
		}
	})
}

// runsOtherAttempt reports whether another attempt of the task is on the machine.
func (m *fakeWorker) runsOtherAttempt(task *fakeTask) bool {
	for _, other := range m.tasks {
		if other != task && other.stage != wire.TaskExited && other.job == task.job && other.task == task.task {
			return true
		}
	}
	return false
}

// runTask runs a task whose image is pulled, and schedules its end.
func (m *fakeWorker) runTask(task *fakeTask, job *observedJob) {
	sim := m.sim
	m.images[job.spec.Image] = true
	if job.completedTasks[task.task] {
		m.exitTask(task, wire.CauseDone)
		return
	}
	task.stage = wire.TaskRunning
	sim.Checker.TaskStarted(sim.now, task.job, task.task, m.machine)
	sim.queueOrder.jobStarted(task.job)
	generation := task.generation
	if sim.Checker.failingJobs[task.job] != nil {
		sim.schedule(sim.randomDuration(100*time.Millisecond, 3*time.Second), func() {
			if !m.gone && task.generation == generation {
				m.exitTask(task, wire.CauseError)
			}
		})
		return
	}
	if job.spec.Service {
		return
	}
	maxRuntime := maxTaskRuntime
	if sim.options.LongTasks {
		maxRuntime = maxLongTaskRuntime
	}
	sim.schedule(sim.randomDuration(2*time.Second, maxRuntime), func() {
		if !m.gone && task.generation == generation {
			m.completeTask(task, job)
		}
	})
}

// completeTask ends a task after its runtime, with success or rarely with an error.
func (m *fakeWorker) completeTask(task *fakeTask, job *observedJob) {
	sim := m.sim
	if !sim.options.NoFaults && sim.chance(0.02) {
		m.exitTask(task, wire.CauseError)
		return
	}
	if len(job.completedTasks) == job.spec.Tasks-1 && !job.completedTasks[task.task] {
		sim.onLastTaskEnding(task.job)
	}
	sim.Checker.TaskCompleted(task.job, task.task)
	m.exitTask(task, wire.CauseDone)
	m.sendHeartbeat()
}

// freeCPU returns the unallocated cores of the machine, in thousandths.
func (m *fakeWorker) freeCPU() int64 {
	free := cpuCapacity(m.machine.Type)
	for _, task := range m.tasks {
		if task.stage != wire.TaskExited {
			free -= m.sim.Checker.jobs[task.job].spec.Request[0]
		}
	}
	return free
}
