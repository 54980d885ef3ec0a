package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// piped is a controller that leads and whose peers all know awaits.
func piped(t *testing.T) *Core {
	t.Helper()
	c := leading(t)
	c.Handle(time.Second, declared("n0", "n1", "n2"))
	return c
}

func awaiting1(id string, awaits ...string) Submit {
	in := submitted(id)
	in.Spec.Dependencies = awaits
	return in
}

// submitAnd submits a job and returns the answer.
func submitAnd(t *testing.T, c *Core, in Submit) Reply {
	t.Helper()
	c.Handle(c.now, in)
	for range 40 {
		for _, o := range c.Advance(c.now + 50*time.Millisecond) {
			switch o := o.(type) {
			case Reply:
				if o.Req == in.Req {
					return o
				}
			case Commit:
				c.Handle(c.now, Committed{ID: o.ID, Status: 200, Reply: wire.TxnResponse{Revision: max(c.replica.revision, 1000) + o.ID}})
			case Changes:
				if !o.Hold {
					c.Handle(c.now, Changed{Status: 200, Changes: wire.WatchResponse{Revision: c.replica.revision}})
				}
			}
		}
	}
	t.Fatalf("%s was not answered", in.ID)
	return Reply{}
}

func TestAnswersToSubmissionsThatAwait(t *testing.T) {
	c := piped(t)
	if r := submitAnd(t, c, awaiting1("wk-2", "wk-1")); r.Status != 422 {
		t.Errorf("a job that was never accepted: %d", r.Status)
	}
	if r := submitAnd(t, c, awaiting1("wk-2", "wk-2")); r.Status != 422 {
		t.Errorf("the job itself: %d", r.Status)
	}
	submitAnd(t, c, awaiting1("wk-1"))
	r := submitAnd(t, c, awaiting1("wk-2", "wk-1"))
	if st, ok := r.Body.(wire.JobState); r.Status != 201 || !ok || st.Stage != wire.StageQueued || st.DependencyCount != 1 || st.Dependencies[0] != "wk-1" {
		t.Errorf("got %+v", r)
	}
	if r := submitAnd(t, c, awaiting1("wk-2", "wk-77")); r.Status != 200 {
		t.Errorf("a repeat that names another: %d", r.Status)
	}
	// A list too long to be stored gets an answer, one that packing makes fit is taken.
	var some, many []string
	for i := range 4000 {
		id := fmt.Sprintf("wk-%s%d", strings.Repeat("x", i%7), 7919*i%100_000)
		j := c.job(id)
		j.mark, j.rec = 1, &jobrecord.Record{Spec: &wire.JobSpec{Tasks: 1}}
		if many = append(many, id); i < 700 {
			some = append(some, id)
		}
	}
	if r := submitAnd(t, c, awaiting1("wk-3", many...)); r.Status != 400 {
		t.Errorf("4000 jobs: %d", r.Status)
	}
	if r := submitAnd(t, c, awaiting1("wk-4", some...)); r.Status != 201 {
		t.Errorf("700 jobs: %d", r.Status)
	}
}

// Another controller may just have accepted the job that a submission names: only a read barrier
// tells that it was never accepted.
// It is asked for at once: waiting for the next one's turn took a quarter of a second.
func TestAwaitedJobThatComesWithTheBarrier(t *testing.T) {
	c := piped(t)
	c.Advance(2 * time.Second)
	c.replica.nextBarrierAt = time.Hour
	c.Handle(2*time.Second, awaiting1("wk-2", "wk-1"))
	asked := false
	for _, o := range outputs[Changes](c.Advance(2 * time.Second)) {
		asked = asked || !o.Hold
	}
	if !asked {
		t.Fatal("no barrier")
	}
	raw, err := c.encodeRecord(&jobrecord.Record{Spec: &wire.JobSpec{Team: "t", Tasks: 1, Request: [3]int64{1, 0, 1}}}, nil, false)
	if err != nil {
		t.Fatal(err)
	}
	c.Handle(2*time.Second, Changed{Status: 200, Changes: wire.WatchResponse{Revision: 70, Events: []wire.WatchEvent{{Put: keyJob + "wk-1", Value: raw, Revision: 70}}}})
	if r := outputs[Reply](c.Advance(2 * time.Second)); len(r) > 0 {
		t.Errorf("answered %+v", r)
	}
	if c.job("wk-2").accept == nil && c.knownJob("wk-2") == nil {
		t.Error("the job is not being accepted")
	}
}

// known puts a job with these needs into the replica.
func known(c *Core, mark uint64, s wire.JobSpec, id string, stage string, awaits ...string) *job {
	s.Team, s.Tasks, s.Request, s.Dependencies = "t", 1, [3]int64{1000, 0, 1000}, awaits
	r := &jobrecord.Record{Spec: &s, Stage: stage, AcceptedAtMS: 1000}
	if stage != jobrecord.Queued {
		r.Spec = nil
	}
	j := c.job(id)
	c.adopt(j, r, nil, mark, 100)
	return j
}

func TestNothingStartsBeforeAllItAwaitsIsDone(t *testing.T) {
	c := piped(t)
	a, b := known(c, 100, wire.JobSpec{}, "wk-1", jobrecord.Queued), known(c, 101, wire.JobSpec{}, "wk-2", jobrecord.Queued)
	d := known(c, 102, wire.JobSpec{}, "wk-3", jobrecord.Queued, "wk-1", "wk-2")
	e := known(c, 103, wire.JobSpec{}, "wk-4", jobrecord.Queued, "wk-3")
	drive(c, 2*time.Second, 4*time.Second)
	if len(a.place) != 1 || len(b.place) != 1 || len(d.place)+len(e.place) != 0 {
		t.Fatalf("placed %d, %d, %d, %d", len(a.place), len(b.place), len(d.place), len(e.place))
	}
	c.adopt(a, &jobrecord.Record{Stage: jobrecord.Done, CompletedTasks: jobrecord.TaskSet{0, 0}}, nil, 3000, 10)
	drive(c, 4*time.Second, 5*time.Second)
	if len(d.place) != 0 {
		t.Error("placed before both are done")
	}
	c.adopt(b, &jobrecord.Record{Stage: jobrecord.Done, CompletedTasks: jobrecord.TaskSet{0, 0}}, nil, 3001, 10)
	drive(c, 5*time.Second, 6*time.Second)
	if len(d.place) != 1 || len(e.place) != 0 {
		t.Errorf("placed %d and %d", len(d.place), len(e.place))
	}
}

// One write cancels all that needs a job, through any number of others, whether the records come
// before or after it, and what is submitted later too. Thousands in a row cost no recursion.
func TestCancellationReachesAllThatNeedIt(t *testing.T) {
	const n = 5000
	name := func(i int) string { return fmt.Sprintf("wk-%d", i) }
	for _, order := range []string{"cancel last", "cancel first", "backwards"} {
		c := piped(t)
		put := func(i int) {
			if i == 0 {
				known(c, uint64(100+i), wire.JobSpec{}, name(0), jobrecord.Cancelled)
				return
			}
			known(c, uint64(100+i), wire.JobSpec{}, name(i), jobrecord.Queued, name(i-1))
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
			j := c.job(name(i))
			if st := c.state(j); st.Stage != wire.StageCancelled || st.CancelledBy != name(0) {
				t.Errorf("%s: %s is %+v", order, j.id, st)
			}
		}
		r := submitAnd(t, c, awaiting1("wk-new", name(n-1)))
		if st, ok := r.Body.(wire.JobState); r.Status != 201 || !ok || st.Stage != wire.StageCancelled {
			t.Errorf("%s: submitted later: %+v", order, r)
		}
	}
}

// A cancellation that is answered with done cancels nothing after it.
func TestCancelOfADoneJobCancelsNothing(t *testing.T) {
	c := piped(t)
	a := known(c, 100, wire.JobSpec{}, "wk-1", jobrecord.Done)
	d := known(c, 101, wire.JobSpec{}, "wk-2", jobrecord.Queued, "wk-1")
	c.Advance(2 * time.Second)
	c.Handle(2*time.Second, Cancel{Req: 7, ID: a.id})
	r := outputs[Reply](c.Advance(2 * time.Second))
	if len(r) != 1 || r[0].Body.(wire.JobState).Stage != wire.StageDone || d.final() || d.waits != 0 {
		t.Errorf("got %+v; the job after it: final %v, waits for %d", r, d.final(), d.waits)
	}
}

// What the last job of a pipeline brings is passed back along the critical path, also when it
// comes late, and is dropped with it.
func TestPriorityAndDeadlineArePassedBack(t *testing.T) {
	c := piped(t)
	est := wire.JobSpec{Priority: 3, EstimatedRuntimeMS: 10_000}
	a, b := known(c, 100, est, "wk-1", jobrecord.Queued), known(c, 101, est, "wk-2", jobrecord.Queued, "wk-1")
	if a.prio != 3 || a.dueMS != 0 {
		t.Fatalf("priority %d, due %d", a.prio, a.dueMS)
	}
	last := known(c, 102, wire.JobSpec{Priority: 1, EstimatedRuntimeMS: 5_000, DeadlineMS: 60_000}, "wk-3", jobrecord.Queued, "wk-1", "wk-2")
	if a.prio != 1 || b.prio != 1 || last.dueMS != 61_000 || b.dueMS != 56_000 || a.dueMS != 46_000 {
		t.Errorf("priorities %d, %d; due %d, %d, %d", a.prio, b.prio, a.dueMS, b.dueMS, last.dueMS)
	}
	c.adopt(last, &jobrecord.Record{Stage: jobrecord.Cancelled}, nil, 500, 10)
	if a.prio != 3 || b.prio != 3 || a.dueMS != 0 || b.dueMS != 0 {
		t.Errorf("after the end of the last: priorities %d, %d, due %d, %d", a.prio, b.prio, a.dueMS, b.dueMS)
	}
}

// Jobs that wait for others are not walked through at every turn, and count in no demand but
// the one for what is about to be ready.
func TestWaitingJobsAreNoDemand(t *testing.T) {
	c := piped(t)
	known(c, 100, wire.JobSpec{EstimatedRuntimeMS: 600_000}, "wk-1", jobrecord.Queued)
	for i := 2; i < 3000; i++ {
		known(c, uint64(100+i), wire.JobSpec{}, fmt.Sprintf("wk-%d", i), jobrecord.Queued, "wk-1")
	}
	drive(c, 2*time.Second, 4*time.Second)
	if len(c.open) > 10 {
		t.Errorf("%d jobs are looked at", len(c.open))
	}
	for _, n := range c.needs() {
		if n.job != nil {
			t.Errorf("%s counts as demand for %d tasks", n.job.id, n.n)
		}
	}
}

// Tasks of a pipeline stayed on the machines of a cut-off zone until others had been rented, and its
// last job was late. A machine that holds such a task is given up as soon as it counts as silent,
// unless replicas serve on there.
func TestCutMachineIsGivenUpForADeadline(t *testing.T) {
	for _, tc := range []struct {
		due     int64
		service bool
		want    bool
	}{{0, false, false}, {60_000, false, false}, {20_000, false, true}, {20_000, true, false}} {
		c := piped(t)
		m := c.machine("m-1")
		a := known(c, 100, wire.JobSpec{EstimatedRuntimeMS: 10_000}, "wk-1", jobrecord.Queued)
		known(c, 101, wire.JobSpec{EstimatedRuntimeMS: 5_000, DeadlineMS: tc.due}, "wk-2", jobrecord.Queued, "wk-1")
		s := known(c, 102, wire.JobSpec{Service: tc.service}, "wk-3", jobrecord.Queued)
		for _, j := range []*job{a, s} {
			m.allocation.assignments[taskKey{j.idx, 0}] = jobrecord.Assignment{Task: 0, Machine: m.idx, Incarnation: 1, Attempt: 1}
		}
		if got := c.hurried(m, 10*time.Second); got != tc.want {
			t.Errorf("due %d, replica %v: given up %v", tc.due, tc.service, got)
		}
	}
}
