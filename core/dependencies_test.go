package core

import (
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"fmt"
	"strings"
	"testing"
	"time"
)

// newCoreWithDependencies is a controller that leads and whose peers all know awaits.
func newCoreWithDependencies(t *testing.T) *Core {
	t.Helper()
	c := newLeadingCore(t)
	c.Handle(time.Second, schemaDeclarations("n0", "n1", "n2"))
	return c
}

func dependentSubmission(id string, awaits ...string) SubmitJob {
	in := testSubmission(id)
	in.Spec.Dependencies = awaits
	return in
}

// submitAndRespond submits a job and returns the answer.
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
	t.Fatalf("%s was not answered", in.ID)
	return Response{}
}

func TestSubmissionsWithDependenciesAreAnswered(t *testing.T) {
	c := newCoreWithDependencies(t)
	if r := submitAndRespond(t, c, dependentSubmission("wk-2", "wk-1")); r.Status != wire.StatusInvalid {
		t.Errorf("a job that was never accepted: %d", r.Status)
	}
	if r := submitAndRespond(t, c, dependentSubmission("wk-2", "wk-2")); r.Status != wire.StatusInvalid {
		t.Errorf("the job itself: %d", r.Status)
	}
	submitAndRespond(t, c, dependentSubmission("wk-1"))
	r := submitAndRespond(t, c, dependentSubmission("wk-2", "wk-1"))
	if st, ok := r.Body.(wire.JobState); r.Status != wire.StatusCreated || !ok || st.Stage != wire.StageQueued ||
		st.DependencyCount != 1 ||
		st.Dependencies[0] != "wk-1" {
		t.Errorf("got %+v", r)
	}
	if r := submitAndRespond(t, c, dependentSubmission("wk-2", "wk-77")); r.Status != wire.StatusOK {
		t.Errorf("a repeat that names another: %d", r.Status)
	}
	// A list too long to be stored gets an answer, one that packing makes fit is taken.
	var some, many []string
	for i := range 4000 {
		id := fmt.Sprintf("wk-%s%d", strings.Repeat("x", i%7), 7919*i%100_000)
		j := c.internJob(id)
		j.revision, j.record = 1, &jobrecord.Record{Spec: &wire.JobSpec{Tasks: 1}}
		if many = append(many, id); i < 700 {
			some = append(some, id)
		}
	}
	if r := submitAndRespond(t, c, dependentSubmission("wk-3", many...)); r.Status != wire.StatusBadRequest {
		t.Errorf("4000 jobs: %d", r.Status)
	}
	if r := submitAndRespond(t, c, dependentSubmission("wk-4", some...)); r.Status != wire.StatusCreated {
		t.Errorf("700 jobs: %d", r.Status)
	}
}

// Another controller may just have accepted the job that a submission names: only a read barrier
// tells that it was never accepted.
// It is asked for at once: waiting for the next one's turn took a quarter of a second.
func TestDependencyArrivingWithTheReadBarrier(t *testing.T) {
	c := newCoreWithDependencies(t)
	c.Advance(2 * time.Second)
	c.replica.nextBarrierAt = time.Hour
	c.Handle(2*time.Second, dependentSubmission("wk-2", "wk-1"))
	asked := false
	for _, o := range outputsOfType[Watch](c.Advance(2 * time.Second)) {
		asked = asked || !o.LongPoll
	}
	if !asked {
		t.Fatal("no barrier")
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
		t.Errorf("answered %+v", r)
	}
	if c.internJob("wk-2").submission == nil && c.knownJob("wk-2") == nil {
		t.Error("the job is not being accepted")
	}
}

// addKnownJob puts a job with these needs into the replica.
func addKnownJob(c *Core, mark uint64, s wire.JobSpec, id string, stage string, awaits ...string) *job {
	s.Team, s.Tasks, s.Request, s.Dependencies = "t", 1, [3]int64{1000, 0, 1000}, awaits
	r := &jobrecord.Record{Spec: &s, Stage: stage, AcceptedAtMS: 1000}
	if stage != jobrecord.Queued {
		r.Spec = nil
	}
	j := c.internJob(id)
	c.adoptRecord(j, r, nil, mark, 100)
	return j
}

func TestNothingStartsBeforeItsDependenciesAreDone(t *testing.T) {
	c := newCoreWithDependencies(t)
	a, b := addKnownJob(
		c,
		100,
		wire.JobSpec{},
		"wk-1",
		jobrecord.Queued,
	), addKnownJob(
		c,
		101,
		wire.JobSpec{},
		"wk-2",
		jobrecord.Queued,
	)
	d := addKnownJob(c, 102, wire.JobSpec{}, "wk-3", jobrecord.Queued, "wk-1", "wk-2")
	e := addKnownJob(c, 103, wire.JobSpec{}, "wk-4", jobrecord.Queued, "wk-3")
	runFor(c, 2*time.Second, 4*time.Second)
	if len(a.assignments) != 1 || len(b.assignments) != 1 || len(d.assignments)+len(e.assignments) != 0 {
		t.Fatalf(
			"placed %d, %d, %d, %d",
			len(a.assignments),
			len(b.assignments),
			len(d.assignments),
			len(e.assignments),
		)
	}
	c.adoptRecord(a, &jobrecord.Record{Stage: jobrecord.Done, CompletedTasks: jobrecord.TaskSet{0, 0}}, nil, 3000, 10)
	runFor(c, 4*time.Second, 5*time.Second)
	if len(d.assignments) != 0 {
		t.Error("placed before both are done")
	}
	c.adoptRecord(b, &jobrecord.Record{Stage: jobrecord.Done, CompletedTasks: jobrecord.TaskSet{0, 0}}, nil, 3001, 10)
	runFor(c, 5*time.Second, 6*time.Second)
	if len(d.assignments) != 1 || len(e.assignments) != 0 {
		t.Errorf("placed %d and %d", len(d.assignments), len(e.assignments))
	}
}

// One write cancels all that needs a job, through any number of others, whether the records come
// before or after it, and what is submitted later too. Thousands in a row cost no recursion.
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
			if st := c.jobState(j); st.Stage != wire.StageCancelled || st.CancelledBy != name(0) {
				t.Errorf("%s: %s is %+v", order, j.id, st)
			}
		}
		r := submitAndRespond(t, c, dependentSubmission("wk-new", name(n-1)))
		if st, ok := r.Body.(wire.JobState); r.Status != wire.StatusCreated || !ok || st.Stage != wire.StageCancelled {
			t.Errorf("%s: submitted later: %+v", order, r)
		}
	}
}

// A cancellation that is answered with done cancels nothing after it.
func TestCancelOfADoneJobCancelsNothing(t *testing.T) {
	c := newCoreWithDependencies(t)
	a := addKnownJob(c, 100, wire.JobSpec{}, "wk-1", jobrecord.Done)
	d := addKnownJob(c, 101, wire.JobSpec{}, "wk-2", jobrecord.Queued, "wk-1")
	c.Advance(2 * time.Second)
	c.Handle(2*time.Second, CancelJob{RequestID: 7, ID: a.id})
	r := outputsOfType[Response](c.Advance(2 * time.Second))
	if len(r) != 1 || r[0].Body.(wire.JobState).Stage != wire.StageDone || d.isFinal() || d.unmetDependencies != 0 {
		t.Errorf("got %+v; the job after it: final %v, waits for %d", r, d.isFinal(), d.unmetDependencies)
	}
}

// What the last job of a pipeline brings is passed back along the critical path, also when it
// comes late, and is dropped with it.
func TestDependenciesInheritPriorityAndDeadline(t *testing.T) {
	c := newCoreWithDependencies(t)
	est := wire.JobSpec{Priority: 3, EstimatedRuntimeMS: 10_000}
	a, b := addKnownJob(
		c,
		100,
		est,
		"wk-1",
		jobrecord.Queued,
	), addKnownJob(
		c,
		101,
		est,
		"wk-2",
		jobrecord.Queued,
		"wk-1",
	)
	if a.effectiveClass != 3 || a.effectiveDeadlineMS != 0 {
		t.Fatalf("priority %d, due %d", a.effectiveClass, a.effectiveDeadlineMS)
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
	if a.effectiveClass != 1 || b.effectiveClass != 1 || last.effectiveDeadlineMS != 61_000 ||
		b.effectiveDeadlineMS != 56_000 ||
		a.effectiveDeadlineMS != 46_000 {
		t.Errorf(
			"priorities %d, %d; due %d, %d, %d",
			a.effectiveClass,
			b.effectiveClass,
			a.effectiveDeadlineMS,
			b.effectiveDeadlineMS,
			last.effectiveDeadlineMS,
		)
	}
	c.adoptRecord(last, &jobrecord.Record{Stage: jobrecord.Cancelled}, nil, 500, 10)
	if a.effectiveClass != 3 || b.effectiveClass != 3 || a.effectiveDeadlineMS != 0 || b.effectiveDeadlineMS != 0 {
		t.Errorf(
			"after the end of the last: priorities %d, %d, due %d, %d",
			a.effectiveClass,
			b.effectiveClass,
			a.effectiveDeadlineMS,
			b.effectiveDeadlineMS,
		)
	}
}

// Jobs that wait for others are not walked through at every turn, and count in no demand but
// the one for what is about to be ready.
func TestJobsWithUnmetDependenciesAreNoDemand(t *testing.T) {
	c := newCoreWithDependencies(t)
	addKnownJob(c, 100, wire.JobSpec{EstimatedRuntimeMS: 600_000}, "wk-1", jobrecord.Queued)
	for i := 2; i < 3000; i++ {
		addKnownJob(c, uint64(100+i), wire.JobSpec{}, fmt.Sprintf("wk-%d", i), jobrecord.Queued, "wk-1")
	}
	runFor(c, 2*time.Second, 4*time.Second)
	if len(c.openJobs) > 10 {
		t.Errorf("%d jobs are looked at", len(c.openJobs))
	}
	for _, n := range c.pendingDemand() {
		if n.job != nil {
			t.Errorf("%s counts as demand for %d tasks", n.job.id, n.tasks)
		}
	}
}

// Tasks of a pipeline stayed on the machines of a cut-off zone until others had been rented, and its
// last job was late. A machine that holds such a task is given up as soon as it counts as silent,
// unless replicas serve on there.
func TestUnreachableMachineIsGivenUpForADeadline(t *testing.T) {
	for _, tc := range []struct {
		due     int64
		service bool
		want    bool
	}{{0, false, false}, {60_000, false, false}, {20_000, false, true}, {20_000, true, false}} {
		c := newCoreWithDependencies(t)
		m := c.internMachine("m-1")
		a := addKnownJob(c, 100, wire.JobSpec{EstimatedRuntimeMS: 10_000}, "wk-1", jobrecord.Queued)
		addKnownJob(
			c,
			101,
			wire.JobSpec{EstimatedRuntimeMS: 5_000, DeadlineMS: tc.due},
			"wk-2",
			jobrecord.Queued,
			"wk-1",
		)
		s := addKnownJob(c, 102, wire.JobSpec{Service: tc.service}, "wk-3", jobrecord.Queued)
		for _, j := range []*job{a, s} {
			m.allocation.assignments[taskKey{j.index, 0}] = jobrecord.Assignment{
				Task:        0,
				Machine:     m.index,
				Incarnation: 1,
				Attempt:     1,
			}
		}
		if got := c.delayMissesDeadline(m, 10*time.Second); got != tc.want {
			t.Errorf("due %d, replica %v: given up %v", tc.due, tc.service, got)
		}
	}
}
