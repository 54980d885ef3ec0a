package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// newCoreWithDependencies returns a leader whose peers all support dependencies.
func newCoreWithDependencies(t *testing.T) *Core {
	t.Helper()
	c := newLeadingCore(t)
	c.Handle(time.Second, schemaDeclarations("n0", "n1", "n2"))
	return c
}

// dependentSubmission returns a submission of a job with these dependencies.
func dependentSubmission(id string, dependencies ...string) SubmitJob {
	in := testSubmission(id)
	in.Spec.Dependencies = dependencies
	return in
}

// submitAndRespond submits a job, commits its write and returns the response.
func submitAndRespond(t *testing.T, c *Core, in SubmitJob) Response {
	t.Helper()
	c.Handle(c.now, in)
	for range 40 {
		for _, o := range c.Advance(c.now + 50*time.Millisecond) {
			switch o := o.(type) {
			case Response:
				if o.RequestID == in.RequestID {
					return o
				}
			case CommitTxn:
				c.Handle(c.now, TxnResult{
					ID:     o.ID,
					Status: wire.StatusOK,
					Reply:  wire.TxnResponse{Revision: max(c.replica.revision, 1000) + o.ID},
				})
			case Watch:
				if !o.LongPoll {
					c.Handle(c.now, WatchResult{
						Status:  wire.StatusOK,
						Changes: wire.WatchResponse{Revision: c.replica.revision},
					})
				}
			}
		}
	}
	t.Fatalf("no response to the submission of %s", in.ID)
	return Response{}
}

// Each submission with dependencies must get the response status that matches its error.
func TestSubmissionsWithDependenciesAreAnswered(t *testing.T) {
	c := newCoreWithDependencies(t)
	if r := submitAndRespond(t, c, dependentSubmission("wk-2", "wk-1")); r.Status != wire.StatusInvalid {
		t.Errorf("dependency that was never accepted: status %d", r.Status)
	}
	if r := submitAndRespond(t, c, dependentSubmission("wk-2", "wk-2")); r.Status != wire.StatusInvalid {
		t.Errorf("dependency on itself: status %d", r.Status)
	}
	submitAndRespond(t, c, dependentSubmission("wk-1"))
	r := submitAndRespond(t, c, dependentSubmission("wk-2", "wk-1"))
	if state, ok := r.Body.(wire.JobState); r.Status != wire.StatusCreated || !ok || state.Stage != wire.StageQueued ||
		state.DependencyCount != 1 || state.Dependencies[0] != "wk-1" {
		t.Errorf("got %+v", r)
	}
	if r := submitAndRespond(t, c, dependentSubmission("wk-2", "wk-77")); r.Status != wire.StatusOK {
		t.Errorf("repeated submission with another dependency: status %d", r.Status)
	}
}

// A list of dependencies that is too long to be stored must be rejected, and one that fits in the packed
// encoding must be accepted.
func TestLongDependencyLists(t *testing.T) {
	c := newCoreWithDependencies(t)
	var few, many []string
	for i := range 4000 {
		id := fmt.Sprintf("wk-%s%d", strings.Repeat("x", i%7), 7919*i%100_000)
		known := c.internJob(id)
		known.revision, known.record = 1, &jobrecord.Record{Spec: &wire.JobSpec{Tasks: 1}}
		if many = append(many, id); i < 700 {
			few = append(few, id)
		}
	}
	if r := submitAndRespond(t, c, dependentSubmission("wk-3", many...)); r.Status != wire.StatusBadRequest {
		t.Errorf("4000 dependencies: status %d", r.Status)
	}
	if r := submitAndRespond(t, c, dependentSubmission("wk-4", few...)); r.Status != wire.StatusCreated {
		t.Errorf("700 dependencies: status %d", r.Status)
	}
}

// Another controller may just have accepted a dependency, so only a read barrier shows that it was never
// accepted. The barrier must be requested immediately: waiting for the next periodic one took 250 ms.
func TestDependencyArrivingWithTheReadBarrier(t *testing.T) {
	c := newCoreWithDependencies(t)
	c.Advance(2 * time.Second)
	c.replica.nextBarrierAt = time.Hour
	c.Handle(2*time.Second, dependentSubmission("wk-2", "wk-1"))
	barrierRequested := false
	for _, o := range outputsOfType[Watch](c.Advance(2 * time.Second)) {
		barrierRequested = barrierRequested || !o.LongPoll
	}
	if !barrierRequested {
		t.Fatal("no read barrier was requested")
	}
	raw, err := c.encodeRecord(
		&jobrecord.Record{Spec: &wire.JobSpec{Team: "t", Tasks: 1, Request: [3]int64{1, 0, 1}}},
		nil,
		false,
	)
	if err != nil {
		t.Fatal(err)
	}
	c.Handle(
		2*time.Second,
		WatchResult{
			Status: wire.StatusOK,
			Changes: wire.WatchResponse{
				Revision: 70,
				Events:   []wire.WatchEvent{{Put: keyJob + "wk-1", Value: raw, Revision: 70}},
			},
		},
	)
	if r := outputsOfType[Response](c.Advance(2 * time.Second)); len(r) > 0 {
		t.Errorf("unexpected responses %+v", r)
	}
	if c.internJob("wk-2").submission == nil && c.knownJob("wk-2") == nil {
		t.Error("the job is not being accepted")
	}
}

// addKnownJob adds a job of one task with these dependencies to the replica.
func addKnownJob(
	c *Core, revision uint64, spec wire.JobSpec, id string, stage string, dependencies ...string,
) *job {
	spec.Team, spec.Tasks, spec.Request, spec.Dependencies = "t", 1, [3]int64{1000, 0, 1000}, dependencies
	record := &jobrecord.Record{Spec: &spec, Stage: stage, AcceptedAtMS: 1000}
	if stage != jobrecord.Queued {
		record.Spec = nil
	}
	added := c.internJob(id)
	c.adoptRecord(added, record, nil, revision, 100)
	return added
}

// completeJob updates the replica so that a job of one task is done.
func completeJob(c *Core, j *job, revision uint64) {
	record := &jobrecord.Record{Stage: jobrecord.Done, CompletedTasks: jobrecord.TaskSet{0, 0}}
	c.adoptRecord(j, record, nil, revision, 10)
}

// A job must not start before all its dependencies are done, and must start afterwards.
func TestNothingStartsBeforeItsDependenciesAreDone(t *testing.T) {
	c := newCoreWithDependencies(t)
	first := addKnownJob(c, 100, wire.JobSpec{}, "wk-1", jobrecord.Queued)
	second := addKnownJob(c, 101, wire.JobSpec{}, "wk-2", jobrecord.Queued)
	join := addKnownJob(c, 102, wire.JobSpec{}, "wk-3", jobrecord.Queued, "wk-1", "wk-2")
	last := addKnownJob(c, 103, wire.JobSpec{}, "wk-4", jobrecord.Queued, "wk-3")
	runFor(c, 2*time.Second, 4*time.Second)
	if len(first.assignments) != 1 || len(second.assignments) != 1 ||
		len(join.assignments)+len(last.assignments) != 0 {
		t.Fatalf(
			"placed %d, %d, %d, %d",
			len(first.assignments),
			len(second.assignments),
			len(join.assignments),
			len(last.assignments),
		)
	}
	completeJob(c, first, 3000)
	runFor(c, 4*time.Second, 5*time.Second)
	if len(join.assignments) != 0 {
		t.Error("placed before both dependencies are done")
	}
	completeJob(c, second, 3001)
	runFor(c, 5*time.Second, 6*time.Second)
	if len(join.assignments) != 1 || len(last.assignments) != 0 {
		t.Errorf("placed %d and %d", len(join.assignments), len(last.assignments))
	}
}

// The write of one cancellation must cancel all direct and indirect dependents, including those submitted
// later, regardless of the order in which the records arrive. A chain of thousands of jobs must not exhaust
// the stack.
func TestCancellationReachesAllDependents(t *testing.T) {
	const n = 5000
	name := func(i int) string { return fmt.Sprintf("wk-%d", i) }
	for _, order := range []string{"cancel last", "cancel first", "backwards"} {
		c := newCoreWithDependencies(t)
		put := func(i int) {
			if i == 0 {
				addKnownJob(c, uint64(100+i), wire.JobSpec{}, name(0), jobrecord.Cancelled)
				return
			}
			addKnownJob(c, uint64(100+i), wire.JobSpec{}, name(i), jobrecord.Queued, name(i-1))
		}
		for i := range n {
			switch order {
			case "cancel last":
				if i > 0 {
					put(i)
				}
			case "cancel first":
				put(i)
			default:
				put(n - 1 - i)
			}
		}
		if order == "cancel last" {
			put(0)
		}
		for _, i := range []int{1, n / 2, n - 1} {
			j := c.internJob(name(i))
			if state := c.jobState(j); state.Stage != wire.StageCancelled || state.CancelledBy != name(0) {
				t.Errorf("%s: %s is %+v", order, j.id, state)
			}
		}
		r := submitAndRespond(t, c, dependentSubmission("wk-new", name(n-1)))
		if state, ok := r.Body.(wire.JobState); r.Status != wire.StatusCreated || !ok ||
			state.Stage != wire.StageCancelled {
			t.Errorf("%s: submitted later: %+v", order, r)
		}
	}
}

// A cancellation that arrives after the job is done must not cancel its dependents.
func TestCancellingDoneJobKeepsDependents(t *testing.T) {
	c := newCoreWithDependencies(t)
	done := addKnownJob(c, 100, wire.JobSpec{}, "wk-1", jobrecord.Done)
	dependent := addKnownJob(c, 101, wire.JobSpec{}, "wk-2", jobrecord.Queued, "wk-1")
	c.Advance(2 * time.Second)
	c.Handle(2*time.Second, CancelJob{RequestID: 7, ID: done.id})
	r := outputsOfType[Response](c.Advance(2 * time.Second))
	if len(r) != 1 || r[0].Body.(wire.JobState).Stage != wire.StageDone ||
		dependent.isFinal() || dependent.unmetDependencies != 0 {
		t.Errorf(
			"got %+v; dependent: final %v, %d unmet dependencies",
			r,
			dependent.isFinal(),
			dependent.unmetDependencies,
		)
	}
}

// The priority class and deadline of a pipeline's last job must be inherited along the critical path, even if
// that job is submitted late. Once it has ended, they must no longer be inherited.
func TestDependenciesInheritPriorityAndDeadline(t *testing.T) {
	c := newCoreWithDependencies(t)
	spec := wire.JobSpec{Priority: 3, EstimatedRuntimeMS: 10_000}
	first := addKnownJob(c, 100, spec, "wk-1", jobrecord.Queued)
	second := addKnownJob(c, 101, spec, "wk-2", jobrecord.Queued, "wk-1")
	if first.effectiveClass != 3 || first.effectiveDeadlineMS != 0 {
		t.Fatalf("class %d, deadline %d", first.effectiveClass, first.effectiveDeadlineMS)
	}
	last := addKnownJob(
		c,
		102,
		wire.JobSpec{Priority: 1, EstimatedRuntimeMS: 5_000, DeadlineMS: 60_000},
		"wk-3",
		jobrecord.Queued,
		"wk-1",
		"wk-2",
	)
	if first.effectiveClass != 1 || second.effectiveClass != 1 || last.effectiveDeadlineMS != 61_000 ||
		second.effectiveDeadlineMS != 56_000 || first.effectiveDeadlineMS != 46_000 {
		t.Errorf(
			"classes %d, %d; deadlines %d, %d, %d",
			first.effectiveClass,
			second.effectiveClass,
			first.effectiveDeadlineMS,
			second.effectiveDeadlineMS,
			last.effectiveDeadlineMS,
		)
	}
	c.adoptRecord(last, &jobrecord.Record{Stage: jobrecord.Cancelled}, nil, 500, 10)
	if first.effectiveClass != 3 || second.effectiveClass != 3 ||
		first.effectiveDeadlineMS != 0 || second.effectiveDeadlineMS != 0 {
		t.Errorf(
			"after the last job has ended: classes %d, %d, deadlines %d, %d",
			first.effectiveClass,
			second.effectiveClass,
			first.effectiveDeadlineMS,
			second.effectiveDeadlineMS,
		)
	}
}

// Jobs with unmet dependencies must not be examined in every scheduling pass, and must not count as demand
// until they are about to be ready.
func TestJobsWithUnmetDependenciesAreNoDemand(t *testing.T) {
	c := newCoreWithDependencies(t)
	addKnownJob(c, 100, wire.JobSpec{EstimatedRuntimeMS: 600_000}, "wk-1", jobrecord.Queued)
	for i := 2; i < 3000; i++ {
		addKnownJob(c, uint64(100+i), wire.JobSpec{}, fmt.Sprintf("wk-%d", i), jobrecord.Queued, "wk-1")
	}
	runFor(c, 2*time.Second, 4*time.Second)
	if len(c.openJobs) > 10 {
		t.Errorf("%d jobs are examined, want at most 10", len(c.openJobs))
	}
	for _, demand := range c.pendingDemand() {
		if demand.job != nil {
			t.Errorf("%s counts as demand for %d tasks", demand.job.id, demand.tasks)
		}
	}
}

// Tasks of a pipeline once stayed on machines in an unreachable zone until replacement machines had been scaled
// out, so that its last job missed its deadline. A machine with such a task must be scaled in as soon as it
// counts as silent, unless replicas of a service keep running there.
func TestUnreachableMachineIsScaledInToMeetDeadline(t *testing.T) {
	for _, tc := range []struct {
		name       string
		deadlineMS int64
		service    bool
		want       bool
	}{
		{"no deadline", 0, false, false},
		{"deadline far away", 60_000, false, false},
		{"deadline would be missed", 20_000, false, true},
		{"deadline would be missed, but a replica serves on", 20_000, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCoreWithDependencies(t)
			host := c.internMachine("m-1")
			first := addKnownJob(c, 100, wire.JobSpec{EstimatedRuntimeMS: 10_000}, "wk-1", jobrecord.Queued)
			last := wire.JobSpec{EstimatedRuntimeMS: 5_000, DeadlineMS: tc.deadlineMS}
			addKnownJob(c, 101, last, "wk-2", jobrecord.Queued, "wk-1")
			other := addKnownJob(c, 102, wire.JobSpec{Service: tc.service}, "wk-3", jobrecord.Queued)
			for _, j := range []*job{first, other} {
				host.allocation.assignments[taskKey{j.index, 0}] = jobrecord.Assignment{
					Task:        0,
					Machine:     host.index,
					Incarnation: 1,
					Attempt:     1,
				}
			}
			if got := host.delayMissesDeadline(c.jobs, c.unixMS(), 10*time.Second); got != tc.want {
				t.Errorf("the delay would miss the deadline: %v, want %v", got, tc.want)
			}
		})
	}
}
