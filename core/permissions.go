package core

import (
	"dewlift/access"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	protobuf "google.golang.org/protobuf/proto"

	pb "dewlift/proto"
)

// Rights live in the state service: a key with the roles, and a key for each identity. They are in force
// once the roles exist, which is written last when they are seeded. Who may do something is decided
// so that no controller, however far behind, lets in who has been shut out:
//
//   - a change (a new job, a cancellation, a change of rights) is written on condition that the roles and
//     the identity are as they were when it was decided;
//   - an answer (a job's state) is given after a read barrier that began when it was asked for.
//
// So a revocation holds everywhere from its own write on, and no clock or lease is trusted for it. During an
// outage nothing can be decided, and everyone gets 503. A refusal is given after a barrier too: the right may
// just have been granted.
const (
	keyPermissions = Root + "access/"
	keyRoles       = keyPermissions + "roles"
	keyIdentity    = keyPermissions + "who/"
)

// Credential is who somebody has proven to be, and with which key.
type Credential struct{ Identity, KeyID string }

// permissionState is what is known here of the state service's.
type permissionState struct {
	rolesRevision   uint64 // 0: rights are not in force
	roles           *pb.Access
	identities      map[string]storedIdentity
	policy          *access.Policy
	publishedPolicy *access.Policy // as the edges have it
	policyStale     bool           // the policy is to be made anew
	seeding         bool
	nextSeedAt      time.Duration
}

type storedIdentity struct {
	revision uint64
	identity *pb.Identity
}

// applyPermission takes a key of the rights.
func (c *Core) applyPermission(key string, raw json.RawMessage, mark uint64) error {
	r := &c.permissions
	r.policyStale = true
	if key == keyRoles {
		if mark <= r.rolesRevision {
			return nil
		}
		r.rolesRevision, r.roles = mark, &pb.Access{} // unreadable roles let nobody in
		return jobrecord.UnpackMessage(raw, r.roles)
	}
	name := strings.TrimPrefix(key, keyIdentity)
	if old, ok := r.identities[name]; ok && mark <= old.revision {
		return nil
	}
	id := &pb.Identity{}
	err := jobrecord.UnpackMessage(raw, id)
	if err != nil || id.Name != name {
		id = &pb.Identity{Name: name}
	}
	r.identities[name] = storedIdentity{mark, id}
	return err
}

func (c *Core) applyPermissionDelete(key string) {
	c.permissions.policyStale = true
	delete(c.permissions.identities, strings.TrimPrefix(key, keyIdentity))
}

// permissionsInForce reports whether rights are in force.
func (c *Core) permissionsInForce() bool { return c.permissions.rolesRevision != 0 }

const reasonNotReady = "rights are not in force yet, or what is done can't be recorded yet"

// isNotServing reports whether rights shall be in force and are not yet, or what is done can't be
// recorded yet: nobody is served.
func (c *Core) isNotServing() bool {
	return c.cfg.Permissions != nil && !c.permissionsInForce() || c.auditNotReady()
}

// toMessage is all rights as a message.
func (r *permissionState) toMessage() *pb.Access {
	a := &pb.Access{Roles: r.roles.GetRoles(), WorkersSign: r.roles.GetWorkersSign()}
	for _, name := range sortedKeys(r.identities) {
		a.Identities = append(a.Identities, r.identities[name].identity)
	}
	return a
}

// currentPolicy makes the policy anew when the rights have changed, and hands it to the edges, which tell from it
// whose token it is. Rights that don't fit together let nobody in.
func (c *Core) currentPolicy() *access.Policy {
	r := &c.permissions
	if !r.policyStale && r.policy != nil {
		return r.policy
	}
	r.policyStale = false
	p, err := access.New(r.toMessage())
	if err != nil {
		c.log(LevelError, "rights do not fit together: nobody is let in", "err", err.Error())
		if p, err = access.New(&pb.Access{}); err != nil {
			panic(err) // no rights at all are rights
		}
	}
	r.policy = p
	return p
}

// publishPolicy hands the policy to the edges.
func (c *Core) publishPolicy() {
	if c.permissionsInForce() && c.currentPolicy() != c.permissions.publishedPolicy {
		c.permissions.publishedPolicy = c.permissions.policy
		c.emit(PermissionsChanged{Policy: c.permissions.policy})
	}
}

// authorize decides whether somebody may do something, by the rights as they are known here.
func (c *Core) authorize(cr Credential, a access.Action) access.Decision {
	if !c.permissionsInForce() {
		return access.Decision{Allowed: !c.isNotServing()}
	}
	p := c.currentPolicy()
	if !c.hasValidKey(cr) {
		return access.Decision{Reason: "the key was revoked"}
	}
	return p.Decide(cr.Identity, a)
}

// permissionCompares are the conditions under which a decision about somebody still holds.
func (c *Core) permissionCompares(cr Credential) []wire.Compare {
	if !c.permissionsInForce() {
		if c.schemaVersion() < schemaPermissions {
			return nil
		}
		return []wire.Compare{{Key: keyRoles}} // they may come into force meanwhile
	}
	return append(
		[]wire.Compare{
			{Key: keyRoles, Revision: c.permissions.rolesRevision},
			{Key: keyIdentity + cr.Identity, Revision: c.permissions.identities[cr.Identity].revision},
		},
		c.unauditedCompares()...)
}

func (c *Core) canReadJob(cr Credential, j *job) bool {
	if !c.permissionsInForce() {
		return true
	}
	team, class := j.record.TeamAndClass()
	return c.authorize(cr, access.Action{Verb: pb.Verb_read, Team: team, Class: class}).Allowed
}

// canRepeatSubmission decides whether the submission of a job that exists is answered with its state: to whoever may
// read it, and to whoever may submit such a job and repeats just that.
func (c *Core) canRepeatSubmission(cr Credential, s *wire.JobSpec, j *job) bool {
	if c.canReadJob(cr, j) {
		return true
	}
	team, class := j.record.TeamAndClass()
	return s != nil && s.Team == team && s.Class == class && c.authorize(cr, submitAction(s)).Allowed
}

func submitAction(s *wire.JobSpec) access.Action {
	return access.Action{Verb: pb.Verb_submit, Team: s.Team, Class: s.Class, Priority: s.Priority}
}

// respondForbidden refuses somebody for lack of a right, and has that recorded.
func (c *Core) respondForbidden(req uint64, cr Credential, verb, object, why string) {
	c.auditDenial(cr, verb, object, why)
	c.respond(req, wire.StatusForbidden, wire.Error{Error: why})
}

// getJobAuthorized answers a poll by the rights after a barrier. Who may not read a job learns no more than
// that there is none.
func (c *Core) getJobAuthorized(in GetJob) {
	c.withJobAfterBarrier(in.RequestID, in.ID, func(j *job) {
		if j == nil || !c.canReadJob(in.Caller, j) {
			if j != nil {
				c.auditDenial(in.Caller, "read", in.ID, "no right to read it")
			}
			c.respond(in.RequestID, wire.StatusNotFound, wire.Error{Error: "no such job"})
			return
		}
		c.respond(in.RequestID, wire.StatusOK, c.jobState(j))
	})
}

// cancelJobAuthorized lets those cancel who may; to those who may not even read the job, there is none.
func (c *Core) cancelJobAuthorized(in CancelJob) {
	c.withJobAfterBarrier(in.RequestID, in.ID, func(j *job) {
		if j == nil || !c.canCancelJob(in.Caller, j) && !c.canReadJob(in.Caller, j) {
			if j != nil {
				c.auditDenial(in.Caller, "cancel", in.ID, "no right to cancel or read it")
			}
			c.respond(in.RequestID, wire.StatusNotFound, wire.Error{Error: "no such job"})
			return
		}
		if !c.canCancelJob(in.Caller, j) {
			c.respondForbidden(in.RequestID, in.Caller, "cancel", in.ID, "no right to cancel it")
			return
		}
		c.enqueueCancellation(j, in)
	})
}

func (c *Core) canCancelJob(cr Credential, j *job) bool {
	team, class := j.record.TeamAndClass()
	return c.authorize(cr, access.Action{Verb: pb.Verb_cancel, Team: team, Class: class}).Allowed
}

// withJobAfterBarrier calls f with a job as of a barrier that begins now; nil: there is none.
func (c *Core) withJobAfterBarrier(req uint64, id string, f func(j *job)) {
	switch {
	case !c.replica.loaded:
		c.respondUnavailable(req, "not caught up")
	case c.storeUnreachable():
		c.respondUnavailable(req, "state service not reached")
	default:
		c.afterReadBarrier(func(ok bool) {
			if !ok {
				c.respondUnavailable(req, "state service not reached")
				return
			}
			if !wire.ValidJobID(id) {
				f(nil)
				return
			}
			c.lookUpJobForRequest(req, id, f)
		})
	}
}

// submitJobAuthorized lets those submit who may; what follows is as without rights, except that the write is on
// condition of them.
func (c *Core) submitJobAuthorized(in SubmitJob) {
	if in.ID == "" {
		c.respond(in.RequestID, wire.StatusBadRequest, wire.Error{Error: in.DecodeError})
		return
	}
	if in.DecodeError == "" && c.authorize(in.Caller, submitAction(&in.Spec)).Allowed &&
		c.recallFromArchive(in.ID) == nil {
		c.admitSubmission(in)
		return
	}
	c.withJobAfterBarrier(in.RequestID, in.ID, func(j *job) {
		switch {
		case j != nil && c.canRepeatSubmission(in.Caller, in.validSpec(), j):
			c.respond(in.RequestID, wire.StatusOK, c.jobState(j))
		case in.DecodeError != "":
			c.respond(in.RequestID, wire.StatusBadRequest, wire.Error{Error: in.DecodeError})
		default:
			if d := c.authorize(in.Caller, submitAction(&in.Spec)); !d.Allowed {
				c.respondForbidden(in.RequestID, in.Caller, "submit", in.ID, d.Reason)
			} else if j != nil {
				c.respondForbidden(in.RequestID, in.Caller, "submit", in.ID, "the id is another's")
			} else {
				c.admitSubmission(in)
			}
		}
	})
}

// validSpec is what was submitted, nil if it was malformed.
func (in *SubmitJob) validSpec() *wire.JobSpec {
	if in.DecodeError != "" {
		return nil
	}
	return &in.Spec
}

// dropUnauthorizedCancellations drops the cancellations of those who have lost the right since they
// asked, and returns the conditions under which the others have it.
func (c *Core) dropUnauthorizedCancellations(j *job) []wire.Compare {
	var conds []wire.Compare
	j.cancellation.waiters = slices.DeleteFunc(j.cancellation.waiters, func(x cancelWaiter) bool {
		if c.permissionsInForce() && !c.canCancelJob(x.caller, j) {
			c.respondForbidden(x.requestID, x.caller, "cancel", j.id, "no right to cancel it")
			return true
		}
		for _, k := range c.permissionCompares(x.caller) {
			if !slices.Contains(conds, k) {
				conds = append(conds, k)
			}
		}
		return false
	})
	return conds
}

// seedPermissions writes the rights of the file where there are none: identities first, then the roles, with which
// they come into force. A seeding that was interrupted goes on.
func (c *Core) seedPermissions() {
	r := &c.permissions
	if c.cfg.Permissions == nil || c.permissionsInForce() || c.auditNotReady() ||
		c.cfg.Audit.Key != nil && !c.isAuditing() ||
		!c.isLeader() ||
		!c.holdsLease() ||
		c.schemaVersion() < schemaPermissions ||
		r.seeding ||
		c.now < r.nextSeedAt ||
		c.transactions.rateLimit.IsPaused(c.now) ||
		c.transactions.rateLimit.WriteTokens < 1 {
		return
	}
	seed := c.cfg.Permissions.Source()
	t := wire.Txn{Compare: []wire.Compare{{Key: keyLeader, Revision: c.leadership.leader.mark}, {Key: keyRoles}}}
	put := func(key string, m protobuf.Message) bool {
		raw, err := jobrecord.PackMessage(m)
		if err != nil || len(raw) > c.cfg.Store.MaxValueBytes {
			c.log(LevelError, "rights can't be written", "key", key, "bytes", len(raw), "err", fmt.Sprint(err))
			return false
		}
		if key != keyRoles {
			t.Compare = append(t.Compare, wire.Compare{Key: key})
		}
		t.Then = append(t.Then, wire.Write{Put: key, Value: raw})
		return true
	}
	for _, id := range seed.Identities {
		if _, there := r.identities[id.Name]; !there &&
			len(
				t.Then,
			) < max(
				1,
				min(c.cfg.Store.MaxTxnOps, int(c.transactions.rateLimit.WriteTokens))-c.auditOpsPerTxn(),
			) &&
			!put(keyIdentity+id.Name, id) {
			r.nextSeedAt = c.now + 10*time.Second
			return
		}
	}
	if len(t.Then) == 0 && !put(keyRoles, &pb.Access{Roles: seed.Roles, WorkersSign: seed.WorkersSign}) {
		r.nextSeedAt = c.now + 10*time.Second
		return
	}
	var seeded []string
	for _, w := range t.Then {
		seeded = append(seeded, strings.TrimPrefix(w.Put, keyPermissions))
	}
	told := c.addAuditEntry(
		&t,
		"rights",
		auditlog.Event{Verb: "administer", Object: "rights", Reason: "first rights: " + strings.Join(seeded, " ")},
	)
	r.seeding = true
	c.commitTxn(t, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		told(status)
		c.afterReadBarrier(func(bool) { r.seeding = false }) // what came of it shows there
	}})
}

// handleUpdatePermissions carries out a change of an identity's rights by somebody who may.
func (c *Core) handleUpdatePermissions(in UpdatePermissions) {
	switch {
	case !c.replica.loaded || c.storeUnreachable() || !c.holdsLease():
		c.respondUnavailable(in.RequestID, "state service not reached")
	case !c.permissionsInForce():
		c.respondUnavailable(in.RequestID, "rights are not in force")
	default:
		c.afterUrgentReadBarrier(func(ok bool) {
			switch {
			case !ok:
				c.respondUnavailable(in.RequestID, "state service not reached")
			case c.isNotServing(): // an entry of a life that has not begun would have the name of another
				c.respondUnavailable(in.RequestID, reasonNotReady)
			default:
				c.updatePermissions(in)
			}
		})
	}
}

func (c *Core) updatePermissions(in UpdatePermissions) {
	r := &c.permissions
	d := c.authorize(in.Caller, access.Action{Verb: pb.Verb_administer})
	if !d.Allowed && !(in.changesOnlyOwnKeys() && c.hasValidKey(in.Caller)) {
		c.respondForbidden(in.RequestID, in.Caller, "administer", in.Identity, d.Reason)
		return
	}
	old := r.identities[in.Identity]
	next, err := in.applyTo(old.identity)
	if err != nil {
		c.respond(in.RequestID, wire.StatusInvalid, wire.Error{Error: err.Error()})
		return
	}
	all := r.toMessage()
	all.Identities = slices.DeleteFunc(all.Identities, func(x *pb.Identity) bool { return x.Name == in.Identity })
	w := wire.Write{Delete: keyIdentity + in.Identity}
	if next != nil {
		all.Identities = append(all.Identities, next)
		w = wire.Write{Put: keyIdentity + in.Identity}
		if w.Value, err = jobrecord.PackMessage(next); err == nil && len(w.Value) > c.cfg.Store.MaxValueBytes {
			err = fmt.Errorf("identity takes %d bytes, %d are allowed", len(w.Value), c.cfg.Store.MaxValueBytes)
		}
	}
	var p *access.Policy
	if err == nil {
		p, err = access.New(all)
	}
	if err == nil && !p.HasAdministrator() {
		err = fmt.Errorf("nobody with a key could change rights any more")
	}
	if err != nil {
		c.respond(in.RequestID, wire.StatusInvalid, wire.Error{Error: err.Error()})
		return
	}
	t := wire.Txn{Compare: c.permissionCompares(in.Caller), Then: []wire.Write{w}}
	if in.Caller.Identity != in.Identity {
		t.Compare = append(t.Compare, wire.Compare{Key: keyIdentity + in.Identity, Revision: old.revision})
	}
	told := c.addAuditEntry(&t, "who/"+in.Identity, newAuditEvent(in.Caller, "administer", in.Identity, in.summary()))
	c.commitTxn(t, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		told(status)
		c.afterReadBarrier(func(bool) {}) // it shows here too, soon
		if status != wire.StatusOK {
			c.respondUnavailable(in.RequestID, "rights changed meanwhile, or the outcome is not known: ask again")
			return
		}
		c.log(LevelInfo, "rights changed", "by", in.Caller.Identity, "who", in.Identity, "change", in.Edit)
		c.respond(
			in.RequestID,
			wire.StatusOK,
			wire.PermissionsEditResult{Identity: in.Identity, Cancelled: c.cancelQueuedJobs(in)},
		)
	}})
}

// cancelQueuedJobs cancels, as somebody asked for by name, what another has submitted and has not begun.
func (c *Core) cancelQueuedJobs(in UpdatePermissions) (ids []string) {
	if !in.Edit.CancelQueued {
		return nil
	}
	for _, j := range c.openJobs {
		if j.record != nil && j.record.Spec != nil && j.record.Submitter == in.Identity && !j.isFinal() &&
			len(j.assignments) == 0 &&
			j.record.CompletedTasks.Count() == 0 &&
			c.canCancelJob(in.Caller, j) {
			ids = append(ids, j.id)
			c.enqueueCancellation(j, CancelJob{ID: j.id, Caller: in.Caller, UnixMS: c.unixMS()})
		}
	}
	return ids
}

// changesOnlyOwnKeys reports whether a change is of nothing but the keys of whoever asks for it: everyone may replace
// their own.
func (in *UpdatePermissions) changesOnlyOwnKeys() bool {
	e := &in.Edit
	return in.Caller.Identity == in.Identity && len(e.GrantRoles)+len(e.RevokeRoles) == 0 && !e.Delete &&
		!e.CancelQueued &&
		e.Certificate == nil
}

// hasValidKey reports whether a key is still its holder's.
func (c *Core) hasValidKey(cr Credential) bool {
	return c.currentPolicy().KeyBelongsTo(cr.Identity, cr.KeyID)
}

// summary tells in short what is changed.
func (in *UpdatePermissions) summary() string {
	e := &in.Edit
	var list []string
	say := func(what string, names []string) {
		if len(names) > 0 {
			list = append(list, what+" "+strings.Join(names, " "))
		}
	}
	say("grant roles", e.GrantRoles)
	say("revoke roles", e.RevokeRoles)
	var keys []string
	for _, k := range e.AddKeys {
		keys = append(keys, k.ID)
	}
	say("add keys", keys)
	say("revoke keys", e.RevokeKeys)
	if e.Certificate != nil {
		list = append(list, fmt.Sprintf("certificate %v", *e.Certificate))
	}
	if e.Delete {
		list = append(list, "delete")
	}
	if e.CancelQueued {
		list = append(list, "cancel what is queued")
	}
	return strings.Join(list, "; ")
}

// applyTo is an identity after a change; nil if it is no more.
func (in *UpdatePermissions) applyTo(old *pb.Identity) (*pb.Identity, error) {
	e := &in.Edit
	if e.Delete {
		if old == nil {
			return nil, fmt.Errorf("nobody is called %q", in.Identity)
		}
		return nil, nil
	}
	next := &pb.Identity{Name: in.Identity, Service: e.Service}
	if old != nil {
		next = protobuf.Clone(old).(*pb.Identity)
	}
	if e.Certificate != nil {
		next.Certificate = *e.Certificate
	}
	for _, r := range e.RevokeRoles {
		next.Roles = slices.DeleteFunc(next.Roles, func(x string) bool { return x == r })
	}
	for _, id := range e.RevokeKeys {
		next.Keys = slices.DeleteFunc(next.Keys, func(k *pb.PublicKey) bool { return k.Id == id })
	}
	for _, r := range e.GrantRoles {
		if !slices.Contains(next.Roles, r) {
			next.Roles = append(next.Roles, r)
		}
	}
	for _, k := range e.AddKeys {
		if !slices.ContainsFunc(
			next.Keys,
			func(x *pb.PublicKey) bool { return x.Id == k.ID && x.Ed25519 == k.Ed25519 },
		) {
			next.Keys = append(next.Keys, &pb.PublicKey{Id: k.ID, Ed25519: k.Ed25519})
		}
	}
	return next, nil
}

// handleCheckPermission answers 200 to whoever may do what is bound to no job.
func (c *Core) handleCheckPermission(in CheckPermission) {
	if c.isNotServing() {
		c.respondUnavailable(in.RequestID, reasonNotReady)
		return
	}
	if !c.permissionsInForce() {
		c.respond(in.RequestID, wire.StatusOK, struct{}{})
		return
	}
	c.afterReadBarrier(c.ifAuthorized(in.RequestID, in.Caller, in.Verb, in.Object, func() {
		c.currentAuditLog().RecordRead(in.Caller.Identity, in.Verb.String(), in.Object, func(ok bool) {
			if !ok {
				c.respondUnavailable(in.RequestID, "this can't be recorded now")
				return
			}
			c.respond(in.RequestID, wire.StatusOK, struct{}{})
		})
	}))
}

// ifAuthorized is what follows a barrier: f, if somebody may do what is bound to no job.
func (c *Core) ifAuthorized(req uint64, by Credential, verb access.Verb, object string, f func()) func(ok bool) {
	return func(ok bool) {
		switch d := c.authorize(by, access.Action{Verb: verb}); {
		case !ok:
			c.respondUnavailable(req, "state service not reached")
		case !d.Allowed:
			c.respondForbidden(req, by, verb.String(), object, d.Reason)
		default:
			f()
		}
	}
}

// handleListPermissions answers with all rights, to those who may change them.
func (c *Core) handleListPermissions(in ListPermissions) {
	if !c.permissionsInForce() {
		c.respondUnavailable(in.RequestID, "rights are not in force")
		return
	}
	c.afterReadBarrier(c.ifAuthorized(in.RequestID, in.Caller, pb.Verb_administer, "rights", func() {
		c.respond(in.RequestID, wire.StatusOK, wire.Permissions{Text: access.Format(c.permissions.toMessage())})
	}))
}
