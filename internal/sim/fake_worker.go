package sim

import (
	"dewlift/core"
	"dewlift/wire"
	"fmt"
	"sort"
	"time"
)

type fakeTask struct {
	job        string
	task       int
	attempt    uint64
	stage      string
	cause      string
	generation int // counts changes, so that old timers do nothing
}

// fakeWorker stands in for a worker and its machine.
type fakeWorker struct {
	sim               *Simulator
	machine           wire.Machine
	rentedAt          time.Duration
	goneAt            time.Duration
	up                bool
	gone              bool
	failed            bool
	returned          bool
	hungUntil         time.Duration // hangs until then
	incarnation       uint64
	seq               uint64
	fencingToken      uint64
	lastAckedAt       time.Duration // when the last answered report was sent, or the session began
	interruptionAt    time.Duration
	tasks             map[string]*fakeTask // by name and attempt
	images            map[string]bool
	controllerIndex   int
	heartbeatInFlight bool
}

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

// hangFor stops the machine for a while; what reaches it meanwhile is executed afterwards.
func (m *fakeWorker) hangFor(d time.Duration) { m.hungUntil = max(m.hungUntil, m.sim.now+d) }

func (m *fakeWorker) returnToCloud() {
	if m.gone {
		m.returned = true
		return
	}
	m.returned = true
	m.stopAll()
}

func (m *fakeWorker) fail() {
	m.stopAll()
	m.failed = true
}

func (m *fakeWorker) stopAll() {
	for _, k := range m.taskKeys() {
		m.noteTaskStopped(m.tasks[k])
	}
	m.tasks = map[string]*fakeTask{}
	m.gone, m.up, m.goneAt = true, false, m.sim.now
}

// reclaimSpot is the cloud taking a spot machine back, mostly with a notice.
func (m *fakeWorker) reclaimSpot() {
	if m.gone {
		return
	}
	if m.sim.chance(0.7) {
		d := m.sim.randomDuration(4*time.Second, 12*time.Second)
		m.interruptionAt = m.sim.now + d
		m.sim.schedule(d, func() {
			if !m.gone {
				m.stopAll()
			}
		})
		return
	}
	m.stopAll()
}

func (m *fakeWorker) taskKeys() []string {
	var out []string
	for k := range m.tasks {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (m *fakeWorker) noteTaskStopped(t *fakeTask) {
	if t.stage == wire.TaskRunning || t.stage == wire.TaskCheckpointing {
		m.sim.Checker.TaskStopped(t.job, t.task, m.machine.Name)
	}
}

func (m *fakeWorker) leaseCheckLoop() {
	if m.gone {
		return
	}
	if m.sim.now >= m.hungUntil && m.sim.now-m.lastAckedAt > m.sim.options.WorkerLease {
		for _, k := range m.taskKeys() {
			m.noteTaskStopped(m.tasks[k])
			m.tasks[k].generation++
		}
		m.tasks = map[string]*fakeTask{}
		m.incarnation++
		m.lastAckedAt = m.sim.now
	}
	m.sim.schedule(100*time.Millisecond, m.leaseCheckLoop)
}

func (m *fakeWorker) heartbeatLoop() {
	if m.gone {
		return
	}
	m.sendHeartbeat()
	m.sim.schedule(m.sim.randomDuration(heartbeatInterval*3/4, heartbeatInterval*5/4), m.heartbeatLoop)
}

func (m *fakeWorker) nextHeartbeat() *wire.Heartbeat {
	m.seq++
	r := &wire.Heartbeat{
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
		s := (m.interruptionAt - m.sim.now).Seconds()
		r.InterruptionNoticeS = &s
	}
	for _, k := range m.taskKeys() {
		t := m.tasks[k]
		r.Tasks = append(
			r.Tasks,
			wire.TaskStatus{Task: wire.TaskName(t.job, t.task), Attempt: t.attempt, Stage: t.stage, Cause: t.cause},
		)
	}
	return r
}

func (m *fakeWorker) sendHeartbeat() {
	if m.gone || m.heartbeatInFlight || m.sim.now < m.hungUntil {
		return
	}
	m.heartbeatInFlight = true
	n := m.sim.nodes[m.controllerIndex]
	r := m.nextHeartbeat()
	sent, session := m.sim.now, m.incarnation
	over := false
	finish := func(rep core.Response, ok bool) {
		if over || m.gone {
			return
		}
		over = true
		m.heartbeatInFlight = false
		b, isBeat := rep.Body.(wire.HeartbeatResponse)
		if !ok || rep.Status != wire.StatusOK || !isBeat {
			m.controllerIndex = (m.controllerIndex + 1) % len(m.sim.nodes)
			m.sim.schedule(time.Second, m.sendHeartbeat)
			return
		}
		if b.FencingToken < m.fencingToken || session != m.incarnation || m.sim.now < m.hungUntil {
			return
		}
		m.fencingToken = b.FencingToken
		m.lastAckedAt = sent
		m.executeCommands(b.Commands)
	}
	m.sim.schedule(4*time.Second, func() { finish(core.Response{}, false) })
	m.sim.send(m.machine.Name, n.name, func() {
		if n.down || m.sim.now < m.sim.outboundBlockedUntil[m.machine.Name] {
			m.sim.schedule(time.Millisecond, func() { finish(core.Response{}, false) })
			return
		}
		m.sim.onHeartbeat(r)
		m.sim.lastRequestID++
		id := m.sim.lastRequestID
		n.pendingRequests[id] = func(rep core.Response) { m.sim.send(n.name, m.machine.Name, func() { finish(rep, true) }) }
		m.sim.deliver(n, core.AgentHeartbeat{RequestID: id, Heartbeat: r})
	})
}

// handleCommands executes direct orders; a hanging machine does so when it goes on.
func (m *fakeWorker) handleCommands(b wire.CommandBatch) (wire.Status, *wire.Heartbeat) {
	if m.gone || !m.up {
		return wire.StatusNoAnswer, nil
	}
	if m.sim.now < m.hungUntil {
		m.sim.schedule(m.hungUntil-m.sim.now+time.Millisecond, func() { m.handleCommands(b) })
		return wire.StatusNoAnswer, nil
	}
	if b.FencingToken < m.fencingToken || b.Incarnation != m.incarnation {
		return wire.StatusConflict, m.nextHeartbeat()
	}
	m.fencingToken = b.FencingToken
	m.executeCommands(b.Commands)
	return wire.StatusOK, m.nextHeartbeat()
}

func (m *fakeWorker) executeCommands(orders []wire.Command) {
	for _, o := range orders {
		key := fmt.Sprintf("%s#%d", o.Task, o.Attempt)
		t := m.tasks[key]
		switch o.Op {
		case wire.OpStart:
			if t == nil {
				m.startTask(key, o)
			}
		case wire.OpStop:
			if t != nil && t.stage != wire.TaskExited {
				m.exitTask(t, wire.CauseStopped)
			}
		case wire.OpClear:
			if t != nil && t.stage == wire.TaskExited {
				delete(m.tasks, key)
			}
		}
	}
}

func (m *fakeWorker) exitTask(t *fakeTask, cause string) {
	m.noteTaskStopped(t)
	t.stage, t.cause = wire.TaskExited, cause
	t.generation++
}

func (m *fakeWorker) startTask(key string, o wire.Command) {
	id, n, _ := wire.SplitTaskName(o.Task)
	t := &fakeTask{job: id, task: n, attempt: o.Attempt, stage: wire.TaskPullingImage}
	m.tasks[key] = t
	j := m.sim.Checker.jobs[id]
	if j == nil {
		m.exitTask(t, wire.CauseNoSuchTask)
		return
	}
	for _, x := range m.tasks {
		if x != t && x.stage != wire.TaskExited && x.job == id && x.task == n {
			m.exitTask(t, wire.CauseBusy)
			return
		}
	}
	if m.freeCPU() < 0 {
		m.exitTask(t, wire.CauseNoCapacity)
		return
	}
	run := t.generation
	fetch := time.Duration(0)
	if !m.images[j.spec.Image] {
		fetch = m.sim.randomDuration(500*time.Millisecond, 4*time.Second)
	}
	m.sim.schedule(fetch, func() {
		if m.gone || t.generation != run {
			return
		}
		m.images[j.spec.Image] = true
		if j.completedTasks[n] {
			m.exitTask(t, wire.CauseDone)
			return
		}
		t.stage = wire.TaskRunning
		m.sim.Checker.TaskStarted(m.sim.now, id, n, m.machine)
		m.sim.queueOrder.jobStarted(id)
		if m.sim.Checker.failingJobs[id] != nil {
			m.sim.schedule(m.sim.randomDuration(100*time.Millisecond, 3*time.Second), func() {
				if !m.gone && t.generation == run {
					m.exitTask(t, wire.CauseError)
				}
			})
			return
		}
		if j.spec.Service {
			return
		}
		most := 25 * time.Second
		if m.sim.options.LongTasks {
			most = 80 * time.Second
		}
		m.sim.schedule(m.sim.randomDuration(2*time.Second, most), func() {
			if m.gone || t.generation != run {
				return
			}
			if !m.sim.options.NoFaults && m.sim.chance(0.02) {
				m.exitTask(t, wire.CauseError)
				return
			}
			if len(j.completedTasks) == j.spec.Tasks-1 && !j.completedTasks[n] {
				m.sim.onLastTaskEnding(id)
			}
			m.sim.Checker.TaskCompleted(id, n)
			m.exitTask(t, wire.CauseDone)
			m.sendHeartbeat()
		})
	})
}

// freeCPU is what is free of a machine's cores, in thousandths.
func (m *fakeWorker) freeCPU() int64 {
	room := cpuCapacity(m.machine.Type)
	for _, t := range m.tasks {
		if t.stage != wire.TaskExited {
			room -= m.sim.Checker.jobs[t.job].spec.Request[0]
		}
	}
	return room
}
