package core

import (
	"cmp"
	"slices"

	"dewlift/wire"
)

// maxQueuePage is the maximum number of jobs in one response.
const maxQueuePage = 200

// waitReason is the reason why a queued job does not start. Its value is part of the API.
type waitReason string

const (
	waitsForDependencies waitReason = "jobs"
	waitsAfterErrors     waitReason = "errors"
	waitsForQuota        waitReason = "limit"
	waitsForCapacity     waitReason = "room"
	waitsForWrite        waitReason = "changes"
)

// handleListQueue responds with the queued jobs in order, with a single queued job, or with the priority
// classes. All responses reflect the state after a read barrier.
func (c *Core) handleListQueue(in ListQueue) {
	switch {
	case c.access.isNotServing():
		c.respondUnavailable(in.RequestID, reasonNotReady)
		return
	case !c.replica.loaded || c.replica.isStoreUnreachable():
		c.respondUnavailable(in.RequestID, reasonStoreUnreachable)
		return
	}
	c.replica.afterReadBarrier(func(ok bool) {
		switch {
		case !ok:
			c.respondUnavailable(in.RequestID, reasonStoreUnreachable)
		case in.ShowPriorityClasses:
			c.respondPriorityClasses(in)
		case in.ID != "":
			c.respondQueuedJob(in)
		default:
			c.respondQueuePage(in)
		}
	})
}

// respondPriorityClasses responds with the active list of priority classes.
func (c *Core) respondPriorityClasses(in ListQueue) {
	text, err := c.priority.text()
	if err != nil {
		c.respondUnavailable(in.RequestID, err.Error())
		return
	}
	c.respond(in.RequestID, wire.StatusOK, wire.JobQueue{Version: c.priority.revision, PriorityClasses: text})
}

// respondQueuedJob responds with a single queued job if the caller may read it.
func (c *Core) respondQueuedJob(in ListQueue) {
	queued := c.queuedJobs()
	i := slices.IndexFunc(queued, func(j *job) bool { return j.id == in.ID })
	if i < 0 || !c.access.canReadJob(in.Caller, queued[i]) {
		c.respond(
			in.RequestID,
			wire.StatusNotFound,
			wire.Error{Error: in.ID + " does not wait: it runs, is over or never was"},
		)
		return
	}
	c.respond(in.RequestID, wire.StatusOK, wire.JobQueue{
		Jobs:  []wire.QueuedJob{c.describeQueuedJob(queued[i], i+1, &[]unplaceable{})},
		Total: len(queued),
	})
}

// respondQueuePage responds with a page of the queued jobs that the caller may read.
func (c *Core) respondQueuePage(in ListQueue) {
	queued := c.queuedJobs()
	page, knownUnplaceable := wire.JobQueue{Total: len(queued), Version: c.priority.revision}, []unplaceable{}
	limit := min(max(1, in.Limit), maxQueuePage)
	for i := max(0, in.AfterPosition); i < len(queued) && len(page.Jobs) < limit; i++ {
		if c.access.canReadJob(in.Caller, queued[i]) {
			page.Jobs = append(page.Jobs, c.describeQueuedJob(queued[i], i+1, &knownUnplaceable))
		}
		page.NextOffset = i + 1
	}
	if page.NextOffset >= len(queued) {
		page.NextOffset = 0
	}
	c.respond(in.RequestID, wire.StatusOK, page)
}

// queuedJobs returns the jobs with waiting tasks in queue order. Jobs with unmet dependencies come last.
func (c *Core) queuedJobs() (queued []*job) {
	for _, j := range c.openJobs {
		if j.record != nil && j.record.Spec != nil && !j.isFinal() &&
			j.record.CompletedTasks.Count()+len(j.assignments) < j.record.Spec.Tasks {
			j.queue.missingReplicas = c.countLostReplicas(j)
			queued = append(queued, j)
		}
	}
	for _, j := range queued {
		j.queue.rank = c.priority.rankOf(j)
	}
	slices.SortFunc(queued, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(min(a.unmetDependencies, 1), min(b.unmetDependencies, 1)),
			a.queue.rank.compare(b.queue.rank),
			cmp.Compare(a.id, b.id),
		)
	})
	return queued
}

// describeQueuedJob describes a queued job and why it waits, as far as any controller can tell.
// knownUnplaceable holds the requests of earlier jobs in the same response that are known not to fit.
func (c *Core) describeQueuedJob(j *job, position int, knownUnplaceable *[]unplaceable) wire.QueuedJob {
	spec := j.record.Spec
	own, effective := c.priority.ownClass(j.record), c.priority.effectiveClass(j)
	reason, explanation := c.waitReasonOf(j, knownUnplaceable)
	description := wire.QueuedJob{
		ID:            j.id,
		Position:      position,
		PriorityClass: c.priority.classes.Name(own),
		Class:         spec.Class,
		Team:          spec.Team,
		Tasks:         spec.Tasks,
		Done:          j.record.CompletedTasks.Count(),
		Assigned:      len(j.assignments),
		WaitedS:       max(0, (c.unixMS()-j.record.AcceptedAtMS)/1000),
		WaitingFor:    string(reason),
		Explanation:   explanation,
	}
	if effective != own {
		description.EffectivePriorityClass = c.priority.classes.Name(effective)
	}
	return description
}

// waitReasonOf returns why a queued job does not start, with an explanation for the user.
func (c *Core) waitReasonOf(j *job, knownUnplaceable *[]unplaceable) (reason waitReason, explanation string) {
	spec := j.record.Spec
	switch {
	case j.unmetDependencies > 0:
		return waitsForDependencies, "it waits for other jobs to be done"
	case isFailing(j.record, c.unixMS()):
		return waitsAfterErrors, failureExplanation(j.record, c.unixMS())
	case c.now < j.placement.backoffUntil:
		return waitsAfterErrors, "its tasks failed several times in a row; it is tried again in a moment"
	case !c.teams.of(spec).fitsMaxQuota(spec.Request):
		return waitsForQuota, "its team " + spec.Team +
			" uses all that it may; it begins when other work of the team ends"
	case !c.canPlaceTaskNow(spec, knownUnplaceable):
		return waitsForCapacity, "no machine has room for one of its tasks; machines are rented if there are " +
			"any to be had, and those before it in the queue come first"
	}
	return waitsForWrite, "there is room; it begins when its turn to be written comes"
}
