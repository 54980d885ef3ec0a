package core

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	protobuf "google.golang.org/protobuf/proto"

	"dewlift/access"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Permissions are stored under one key for the roles and one key for each identity. They are in force once the
// roles exist; seeding writes the roles last. An authorization must never rely on a replica that lags behind a
// revocation:
//
//   - a change (a new job, a cancellation, a change of permissions) is committed with compares on the
//     roles and the identity, so it fails if either has changed since the decision;
//   - a read (a job's state) is answered after a read barrier that began after the request arrived.
//
// So a revocation takes effect on all controllers as soon as it is committed, independent of clocks and leases.
// During an outage of the store nothing can be authorized, and every request gets status 503. A denial waits for a
// read barrier too, because the permission may just have been granted.
const (
	keyPermissions = Root + "access/"
	keyRoles       = keyPermissions + "roles"
	keyIdentity    = keyPermissions + "who/"
)

// Credential is an authenticated identity and the ID of the key that authenticated it.
type Credential struct{ Identity, KeyID string }

// permissionState is the replica of the stored permissions, and the policy derived from it.
type permissionState struct {
	*environment
	rolesRevision   uint64 // revision of the roles; 0: permissions are not in force
	roles           *pb.Access
	identities      map[string]storedIdentity
	policy          *access.Policy
	publishedPolicy *access.Policy // the policy that was last sent to the API
	policyStale     bool           // policy must be rebuilt before use
	seeding         bool           // a seeding transaction is in flight
	nextSeedAt      time.Duration  // no seeding is attempted before this time
}

// newPermissionState returns the replica of a store without permissions.
func newPermissionState(env *environment) permissionState {
	return permissionState{environment: env, identities: map[string]storedIdentity{}}
}

// storedIdentity is an identity and the revision of its key.
type storedIdentity struct {
	revision uint64
	identity *pb.Identity
}

// applyPut updates the replica from a stored permission key, unless it knows a later revision. Roles or an identity
// that can't be decoded grant nothing.
func (p *permissionState) applyPut(key string, raw json.RawMessage, revision uint64) error {
	p.policyStale = true
	if key == keyRoles {
		if revision <= p.rolesRevision {
			return nil
		}
		p.rolesRevision, p.roles = revision, &pb.Access{}
		return jobrecord.UnpackMessage(raw, p.roles)
	}
	name := strings.TrimPrefix(key, keyIdentity)
	if known, ok := p.identities[name]; ok && revision <= known.revision {
		return nil
	}
	identity := &pb.Identity{}
	err := jobrecord.UnpackMessage(raw, identity)
	if err != nil || identity.Name != name {
		identity = &pb.Identity{Name: name}
	}
	p.identities[name] = storedIdentity{revision, identity}
	return err
}

// applyDelete removes an identity whose key was deleted from the replica.
func (p *permissionState) applyDelete(key string) {
	p.policyStale = true
	delete(p.identities, strings.TrimPrefix(key, keyIdentity))
}

// toMessage returns all permissions as one message, identities ordered by name.
func (p *permissionState) toMessage() *pb.Access {
	message := &pb.Access{Roles: p.roles.GetRoles(), WorkersSign: p.roles.GetWorkersSign()}
	for _, name := range sortedKeys(p.identities) {
		message.Identities = append(message.Identities, p.identities[name].identity)
	}
	return message
}

// isInForce reports whether permissions are in force, so that requests must be authorized.
func (p *permissionState) isInForce() bool { return p.rolesRevision != 0 }

// accessControl decides what callers may do, according to the permissions and to whether changes can be audited.
type accessControl struct {
	*environment
	permissions *permissionState
	auditLog    *auditState
	schema      *schemaState
}

// Reasons in responses to requests that can't be served now.
const (
	reasonNotReady      = "rights are not in force yet, or what is done can't be recorded yet"
	reasonNoPermissions = "rights are not in force"
)

// isNotServing reports whether no request may be served: permissions are configured but not in force
// yet, or the audit log can't record changes yet.
func (a *accessControl) isNotServing() bool {
	return a.cfg.Permissions != nil && !a.permissions.isInForce() || a.auditLog.isNotReady()
}

// currentPolicy returns the policy of the stored permissions, which it rebuilds after a change. Inconsistent
// permissions grant nothing.
func (p *permissionState) currentPolicy() *access.Policy {
	if !p.policyStale && p.policy != nil {
		return p.policy
	}
	p.policyStale = false
	policy, err := access.New(p.toMessage())
	if err != nil {
		p.log(LevelError, "stored permissions are inconsistent; denying all access", "err", err.Error())
		if policy, err = access.New(&pb.Access{}); err != nil {
			panic(err) // impossible: empty permissions are consistent
		}
	}
	p.policy = policy
	return policy
}

// publishPolicy sends a changed policy to the API, which authenticates callers by it.
func (p *permissionState) publishPolicy() {
	if p.isInForce() && p.currentPolicy() != p.publishedPolicy {
		p.publishedPolicy = p.policy
		p.emit(PermissionsChanged{Policy: p.policy})
	}
}

// authorize decides whether a caller may perform an action, according to the replica of the permissions. Until
// permissions are in force, every action is allowed, unless no request may be served.
func (a *accessControl) authorize(caller Credential, action access.Action) access.Decision {
	if !a.permissions.isInForce() {
		return access.Decision{Allowed: !a.isNotServing()}
	}
	policy := a.permissions.currentPolicy()
	if !a.permissions.hasValidKey(caller) {
		return access.Decision{Reason: "the key was revoked"}
	}
	return policy.Decide(caller.Identity, action)
}

// compares returns the compares that fail if an authorization of the caller no longer holds.
func (a *accessControl) compares(caller Credential) []wire.Compare {
	if !a.permissions.isInForce() {
		if a.schema.active < schemaPermissions {
			return nil
		}
		return []wire.Compare{{Key: keyRoles}} // fails if permissions come into force meanwhile
	}
	return append(
		[]wire.Compare{
			{Key: keyRoles, Revision: a.permissions.rolesRevision},
			{Key: keyIdentity + caller.Identity, Revision: a.permissions.identities[caller.Identity].revision},
		},
		a.auditLog.unauditedCompares()...)
}

// canReadJob reports whether the caller may read the job.
func (a *accessControl) canReadJob(caller Credential, target *job) bool {
	if !a.permissions.isInForce() {
		return true
	}
	team, class := target.record.TeamAndClass()
	return a.authorize(caller, access.Action{Verb: pb.Verb_read, Team: team, Class: class}).Allowed
}

// canCancelJob reports whether the caller may cancel the job.
func (a *accessControl) canCancelJob(caller Credential, target *job) bool {
	team, class := target.record.TeamAndClass()
	return a.authorize(caller, access.Action{Verb: pb.Verb_cancel, Team: team, Class: class}).Allowed
}

// canRepeatSubmission reports whether the repeated submission of an existing job is answered with the job's state:
// the caller must be allowed to read the job, or to submit the same team and class.
func (a *accessControl) canRepeatSubmission(caller Credential, spec *wire.JobSpec, target *job) bool {
	if a.canReadJob(caller, target) {
		return true
	}
	team, class := target.record.TeamAndClass()
	return spec != nil && spec.Team == team && spec.Class == class && a.authorize(caller, submitAction(spec)).Allowed
}

// submitAction returns the action that the submission of a job must be authorized for.
func submitAction(spec *wire.JobSpec) access.Action {
	return access.Action{Verb: pb.Verb_submit, Team: spec.Team, Class: spec.Class, Priority: spec.Priority}
}

// hasValidKey reports whether the caller's key still belongs to the caller's identity.
func (p *permissionState) hasValidKey(caller Credential) bool {
	return p.currentPolicy().KeyBelongsTo(caller.Identity, caller.KeyID)
}

// respondForbidden denies a request whose caller lacks a permission, and records the denial.
func (c *Core) respondForbidden(requestID uint64, caller Credential, verb, object, reason string) {
	c.auditLog.recordDenial(caller, verb, object, reason)
	c.respond(requestID, wire.StatusForbidden, wire.Error{Error: reason})
}

// getJobAuthorized answers a status request after a read barrier. A caller without read permission gets the same
// response as for a job that does not exist.
func (c *Core) getJobAuthorized(in GetJob) {
	c.withJobAfterBarrier(in.RequestID, in.ID, func(target *job) {
		if target == nil || !c.access.canReadJob(in.Caller, target) {
			if target != nil {
				c.auditLog.recordDenial(in.Caller, "read", in.ID, "no right to read it")
			}
			c.respondNotFound(in.RequestID)
			return
		}
		c.respond(in.RequestID, wire.StatusOK, c.jobState(target))
	})
}

// cancelJobAuthorized cancels a job for a permitted caller. A caller who may neither cancel nor read the job gets
// the same response as for a job that does not exist.
func (c *Core) cancelJobAuthorized(in CancelJob) {
	c.withJobAfterBarrier(in.RequestID, in.ID, func(target *job) {
		if target == nil || !c.access.canCancelJob(in.Caller, target) && !c.access.canReadJob(in.Caller, target) {
			if target != nil {
				c.auditLog.recordDenial(in.Caller, "cancel", in.ID, "no right to cancel or read it")
			}
			c.respondNotFound(in.RequestID)
			return
		}
		if !c.access.canCancelJob(in.Caller, target) {
			c.respondForbidden(in.RequestID, in.Caller, "cancel", in.ID, "no right to cancel it")
			return
		}
		c.enqueueCancellation(target, in)
	})
}

// withJobAfterBarrier calls f with a job as of a read barrier that begins now, or with nil if there is no such job.
// If the barrier fails, it responds to the request itself.
func (c *Core) withJobAfterBarrier(requestID uint64, id string, f func(target *job)) {
	switch {
	case !c.replica.loaded:
		c.respondUnavailable(requestID, reasonNotLoaded)
	case c.replica.isStoreUnreachable():
		c.respondUnavailable(requestID, reasonStoreUnreachable)
	default:
		c.replica.afterReadBarrier(func(ok bool) {
			if !ok {
				c.respondUnavailable(requestID, reasonStoreUnreachable)
				return
			}
			if !wire.ValidJobID(id) {
				f(nil)
				return
			}
			c.lookUpJobForRequest(requestID, id, f)
		})
	}
}

// submitJobAuthorized admits the submission of a permitted caller at once, because the transaction that accepts the
// job compares the permissions again. Any other submission is decided after a read barrier.
func (c *Core) submitJobAuthorized(in SubmitJob) {
	if in.ID == "" {
		c.respond(in.RequestID, wire.StatusBadRequest, wire.Error{Error: in.DecodeError})
		return
	}
	if in.DecodeError == "" && c.access.authorize(in.Caller, submitAction(&in.Spec)).Allowed &&
		c.findCachedJob(in.ID) == nil {
		c.admitSubmission(in)
		return
	}
	c.withJobAfterBarrier(in.RequestID, in.ID, func(existing *job) {
		switch {
		case existing != nil && c.access.canRepeatSubmission(in.Caller, in.validSpec(), existing):
			c.respond(in.RequestID, wire.StatusOK, c.jobState(existing))
		case in.DecodeError != "":
			c.respond(in.RequestID, wire.StatusBadRequest, wire.Error{Error: in.DecodeError})
		default:
			if decision := c.access.authorize(in.Caller, submitAction(&in.Spec)); !decision.Allowed {
				c.respondForbidden(in.RequestID, in.Caller, "submit", in.ID, decision.Reason)
			} else if existing != nil {
				c.respondForbidden(in.RequestID, in.Caller, "submit", in.ID, reasonIDTaken)
			} else {
				c.admitSubmission(in)
			}
		}
	})
}

// validSpec returns the submitted job, or nil if the request was malformed.
func (in *SubmitJob) validSpec() *wire.JobSpec {
	if in.DecodeError != "" {
		return nil
	}
	return &in.Spec
}

// dropUnauthorizedCancellations denies the waiting cancellations whose callers have lost the permission since their
// request. It returns the compares that fail if the remaining ones are no longer authorized.
func (c *Core) dropUnauthorizedCancellations(target *job) []wire.Compare {
	var compares []wire.Compare
	target.cancellation.waiters = slices.DeleteFunc(target.cancellation.waiters, func(waiter cancelWaiter) bool {
		if c.permissions.isInForce() && !c.access.canCancelJob(waiter.caller, target) {
			c.respondForbidden(waiter.requestID, waiter.caller, "cancel", target.id, "no right to cancel it")
			return true
		}
		for _, compare := range c.access.compares(waiter.caller) {
			if !slices.Contains(compares, compare) {
				compares = append(compares, compare)
			}
		}
		return false
	})
	return compares
}

// permissionSeedRetryDelay is the delay between attempts to seed permissions that don't fit a value. Only a change
// of the configuration can make them fit.
const permissionSeedRetryDelay = 10 * time.Second

// seedPermissions writes the configured permissions to a store that has none: first the identities, in as many
// transactions as needed, then the roles, which bring them into force. An interrupted seeding is continued, by the
// next leader if need be.
func (c *Core) seedPermissions() {
	if !c.canSeedPermissions() {
		return
	}
	txn, ok := c.permissionSeedTxn(c.cfg.Permissions.Source())
	if !ok {
		c.permissions.nextSeedAt = c.now + permissionSeedRetryDelay
		return
	}
	var seeded []string
	for _, write := range txn.Then {
		seeded = append(seeded, strings.TrimPrefix(write.Put, keyPermissions))
	}
	handleAuditOutcome := c.auditLog.addEntry(
		&txn,
		"rights",
		auditlog.Event{Verb: "administer", Object: "rights", Reason: "first rights: " + strings.Join(seeded, " ")},
	)
	c.permissions.seeding = true
	c.transactions.commit(txn, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		handleAuditOutcome(status)
		c.replica.afterReadBarrier(func(bool) { c.permissions.seeding = false }) // the replica then shows the outcome
	}})
}

// canSeedPermissions reports whether permissions must be seeded and this controller can do so now.
func (c *Core) canSeedPermissions() bool {
	if c.cfg.Permissions == nil || c.permissions.isInForce() || c.auditLog.isNotReady() ||
		c.cfg.Audit.Key != nil && !c.auditLog.isEnabled() {
		return false
	}
	if !c.leadership.isHeld() || !c.ownLease.isHeld() || c.schema.active < schemaPermissions {
		return false
	}
	return !c.permissions.seeding && c.now >= c.permissions.nextSeedAt &&
		!c.transactions.rateLimit.IsPaused(c.now) && c.transactions.rateLimit.WriteTokens >= 1
}

// permissionSeedTxn returns the next transaction of a seeding. It writes as many missing identities as a
// transaction and the rate limit allow, or the roles once all identities exist. It reports false if a message can't
// be stored.
func (c *Core) permissionSeedTxn(seed *pb.Access) (wire.Txn, bool) {
	txn := wire.Txn{
		Compare: []wire.Compare{{Key: keyLeader, Revision: c.leadership.leader.modRevision}, {Key: keyRoles}},
	}
	for _, identity := range seed.Identities {
		if _, exists := c.permissions.identities[identity.Name]; exists || len(txn.Then) >= c.maxSeedWrites() {
			continue
		}
		key := keyIdentity + identity.Name
		raw, ok := c.permissions.pack(key, identity)
		if !ok {
			return txn, false
		}
		txn.Compare = append(txn.Compare, wire.Compare{Key: key})
		txn.Then = append(txn.Then, wire.Write{Put: key, Value: raw})
	}
	if len(txn.Then) > 0 {
		return txn, true
	}
	raw, ok := c.permissions.pack(keyRoles, &pb.Access{Roles: seed.Roles, WorkersSign: seed.WorkersSign})
	if !ok {
		return txn, false
	}
	txn.Then = append(txn.Then, wire.Write{Put: keyRoles, Value: raw})
	return txn, true
}

// maxSeedWrites returns the number of identities that a seeding transaction may write now.
func (c *Core) maxSeedWrites() int {
	allowed := min(c.cfg.Store.MaxTxnOps, int(c.transactions.rateLimit.WriteTokens)) - c.auditLog.opsPerTxn()
	return max(1, allowed)
}

// pack encodes a message as a value and reports whether it can be stored.
func (p *permissionState) pack(key string, message protobuf.Message) (json.RawMessage, bool) {
	raw, err := jobrecord.PackMessage(message)
	if err != nil || len(raw) > p.cfg.Store.MaxValueBytes {
		p.log(LevelError, "configured permissions can't be stored in one value",
			"key", key, "bytes", len(raw), "err", fmt.Sprint(err))
		return nil, false
	}
	return raw, true
}

// handleUpdatePermissions changes an identity's permissions for a permitted caller, after a read barrier.
func (c *Core) handleUpdatePermissions(in UpdatePermissions) {
	switch {
	case !c.replica.loaded || c.replica.isStoreUnreachable() || !c.ownLease.isHeld():
		c.respondUnavailable(in.RequestID, reasonStoreUnreachable)
	case !c.permissions.isInForce():
		c.respondUnavailable(in.RequestID, reasonNoPermissions)
	default:
		c.replica.afterUrgentReadBarrier(func(ok bool) {
			switch {
			case !ok:
				c.respondUnavailable(in.RequestID, reasonStoreUnreachable)
			case c.access.isNotServing(): // before the audit log starts, a new entry could get the ID of a former one
				c.respondUnavailable(in.RequestID, reasonNotReady)
			default:
				c.updatePermissions(in)
			}
		})
	}
}

// updatePermissions authorizes, validates and commits a change of an identity's permissions.
func (c *Core) updatePermissions(in UpdatePermissions) {
	decision := c.access.authorize(in.Caller, access.Action{Verb: pb.Verb_administer})
	if !decision.Allowed && (!in.changesOnlyOwnKeys() || !c.permissions.hasValidKey(in.Caller)) {
		c.respondForbidden(in.RequestID, in.Caller, "administer", in.Identity, decision.Reason)
		return
	}
	old := c.permissions.identities[in.Identity]
	write, err := c.permissions.identityWrite(in, old.identity)
	if err != nil {
		c.respond(in.RequestID, wire.StatusInvalid, wire.Error{Error: err.Error()})
		return
	}
	txn := wire.Txn{Compare: c.access.compares(in.Caller), Then: []wire.Write{write}}
	if in.Caller.Identity != in.Identity {
		txn.Compare = append(txn.Compare, wire.Compare{Key: keyIdentity + in.Identity, Revision: old.revision})
	}
	handleAuditOutcome := c.auditLog.addEntry(
		&txn,
		"who/"+in.Identity,
		newAuditEvent(in.Caller, "administer", in.Identity, in.summary()),
	)
	c.transactions.commit(txn, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		handleAuditOutcome(status)
		c.replica.afterReadBarrier(func(bool) {}) // brings the replica up to date soon
		if status != wire.StatusOK {
			c.respondUnavailable(in.RequestID, "rights changed meanwhile, or the outcome is not known: ask again")
			return
		}
		c.log(LevelInfo, "permissions changed", "by", in.Caller.Identity, "who", in.Identity, "change", in.Edit)
		c.respond(
			in.RequestID,
			wire.StatusOK,
			wire.PermissionsEditResult{Identity: in.Identity, Cancelled: c.cancelQueuedJobs(in)},
		)
	}})
}

// identityWrite returns the write that stores an identity after the change. It returns an error if the change is
// invalid, does not fit a value, or would leave no administrator with a key, so that nobody could change
// permissions any more.
func (p *permissionState) identityWrite(in UpdatePermissions, old *pb.Identity) (wire.Write, error) {
	write := wire.Write{Delete: keyIdentity + in.Identity}
	next, err := in.applyTo(old)
	if err != nil {
		return write, err
	}
	all := p.toMessage()
	all.Identities = slices.DeleteFunc(
		all.Identities,
		func(identity *pb.Identity) bool { return identity.Name == in.Identity },
	)
	if next != nil {
		all.Identities = append(all.Identities, next)
		write = wire.Write{Put: keyIdentity + in.Identity}
		if write.Value, err = jobrecord.PackMessage(next); err != nil {
			return write, err
		}
		if limit := p.cfg.Store.MaxValueBytes; len(write.Value) > limit {
			return write, fmt.Errorf("identity takes %d bytes, %d are allowed", len(write.Value), limit)
		}
	}
	policy, err := access.New(all)
	if err != nil {
		return write, err
	}
	if !policy.HasAdministrator() {
		return write, errors.New("nobody with a key could change rights any more")
	}
	return write, nil
}

// cancelQueuedJobs cancels, if the request asks for it, the jobs that the changed identity submitted and that have
// neither assigned nor completed tasks, as far as the caller may cancel them. It returns their IDs.
func (c *Core) cancelQueuedJobs(in UpdatePermissions) (ids []string) {
	if !in.Edit.CancelQueued {
		return nil
	}
	for _, candidate := range c.openJobs {
		record := candidate.record
		if record != nil && record.Spec != nil && record.Submitter == in.Identity && !candidate.isFinal() &&
			len(candidate.assignments) == 0 &&
			record.CompletedTasks.Count() == 0 &&
			c.access.canCancelJob(in.Caller, candidate) {
			ids = append(ids, candidate.id)
			c.enqueueCancellation(candidate, CancelJob{ID: candidate.id, Caller: in.Caller, UnixMS: c.unixMS()})
		}
	}
	return ids
}

// changesOnlyOwnKeys reports whether a change affects only the keys of the caller, which every identity may
// replace.
func (in *UpdatePermissions) changesOnlyOwnKeys() bool {
	edit := &in.Edit
	return in.Caller.Identity == in.Identity && len(edit.GrantRoles)+len(edit.RevokeRoles) == 0 && !edit.Delete &&
		!edit.CancelQueued &&
		edit.Certificate == nil
}

// summary describes a change for the audit log.
func (in *UpdatePermissions) summary() string {
	edit := &in.Edit
	var parts []string
	add := func(what string, names []string) {
		if len(names) > 0 {
			parts = append(parts, what+" "+strings.Join(names, " "))
		}
	}
	add("grant roles", edit.GrantRoles)
	add("revoke roles", edit.RevokeRoles)
	var keys []string
	for _, key := range edit.AddKeys {
		keys = append(keys, key.ID)
	}
	add("add keys", keys)
	add("revoke keys", edit.RevokeKeys)
	if edit.Certificate != nil {
		parts = append(parts, fmt.Sprintf("certificate %v", *edit.Certificate))
	}
	if edit.Delete {
		parts = append(parts, "delete")
	}
	if edit.CancelQueued {
		parts = append(parts, "cancel what is queued")
	}
	return strings.Join(parts, "; ")
}

// applyTo returns an identity after the change, or nil if the change deletes it. old is nil for a new
// identity and is not modified.
func (in *UpdatePermissions) applyTo(old *pb.Identity) (*pb.Identity, error) {
	edit := &in.Edit
	if edit.Delete {
		if old == nil {
			return nil, fmt.Errorf("nobody is called %q", in.Identity)
		}
		return nil, nil
	}
	next := &pb.Identity{Name: in.Identity, Service: edit.Service}
	if old != nil {
		next = protobuf.Clone(old).(*pb.Identity)
	}
	if edit.Certificate != nil {
		next.Certificate = *edit.Certificate
	}
	for _, role := range edit.RevokeRoles {
		next.Roles = slices.DeleteFunc(next.Roles, func(held string) bool { return held == role })
	}
	for _, id := range edit.RevokeKeys {
		next.Keys = slices.DeleteFunc(next.Keys, func(key *pb.PublicKey) bool { return key.Id == id })
	}
	for _, role := range edit.GrantRoles {
		if !slices.Contains(next.Roles, role) {
			next.Roles = append(next.Roles, role)
		}
	}
	for _, added := range edit.AddKeys {
		if !slices.ContainsFunc(
			next.Keys,
			func(key *pb.PublicKey) bool { return key.Id == added.ID && key.Ed25519 == added.Ed25519 },
		) {
			next.Keys = append(next.Keys, &pb.PublicKey{Id: added.ID, Ed25519: added.Ed25519})
		}
	}
	return next, nil
}

// handleCheckPermission responds with status 200 if the caller may perform an action that concerns no job.
func (c *Core) handleCheckPermission(in CheckPermission) {
	if c.access.isNotServing() {
		c.respondUnavailable(in.RequestID, reasonNotReady)
		return
	}
	if !c.permissions.isInForce() {
		c.respond(in.RequestID, wire.StatusOK, struct{}{})
		return
	}
	c.replica.afterReadBarrier(c.ifAuthorized(in.RequestID, in.Caller, in.Verb, in.Object, func() {
		c.auditLog.current().RecordRead(in.Caller.Identity, in.Verb.String(), in.Object, func(ok bool) {
			if !ok {
				c.respondUnavailable(in.RequestID, "this can't be recorded now")
				return
			}
			c.respond(in.RequestID, wire.StatusOK, struct{}{})
		})
	}))
}

// ifAuthorized returns a callback for a read barrier. It calls f if the caller may perform an action that concerns
// no job, and denies the request otherwise.
func (c *Core) ifAuthorized(
	requestID uint64, caller Credential, verb access.Verb, object string, f func(),
) func(ok bool) {
	return func(ok bool) {
		switch decision := c.access.authorize(caller, access.Action{Verb: verb}); {
		case !ok:
			c.respondUnavailable(requestID, reasonStoreUnreachable)
		case !decision.Allowed:
			c.respondForbidden(requestID, caller, verb.String(), object, decision.Reason)
		default:
			f()
		}
	}
}

// handleListPermissions responds with all permissions to a caller who may change them.
func (c *Core) handleListPermissions(in ListPermissions) {
	if !c.permissions.isInForce() {
		c.respondUnavailable(in.RequestID, reasonNoPermissions)
		return
	}
	c.replica.afterReadBarrier(c.ifAuthorized(in.RequestID, in.Caller, pb.Verb_administer, "rights", func() {
		c.respond(in.RequestID, wire.StatusOK, wire.Permissions{Text: access.Format(c.permissions.toMessage())})
	}))
}
