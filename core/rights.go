package core

import (
	"encoding/json"
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
	keyAccess = Root + "access/"
	keyRoles  = keyAccess + "roles"
	keyWho    = keyAccess + "who/"
)

// Cred is who somebody has proven to be, and with which key.
type Cred struct{ Who, Key string }

// rights is what is known here of the state service's.
type rights struct {
	rolesMark uint64 // 0: rights are not in force
	roles     *pb.Access
	who       map[string]storedIdentity
	policy    *access.Policy
	told      *access.Policy // as the edges have it
	stale     bool           // the policy is to be made anew
	seeding   bool
	seedAt    time.Duration
}

type storedIdentity struct {
	mark uint64
	id   *pb.Identity
}

// putAccess takes a key of the rights.
func (c *Core) putAccess(key string, raw json.RawMessage, mark uint64) error {
	r := &c.rights
	r.stale = true
	if key == keyRoles {
		if mark <= r.rolesMark {
			return nil
		}
		r.rolesMark, r.roles = mark, &pb.Access{} // unreadable roles let nobody in
		return jobrecord.UnpackMessage(raw, r.roles)
	}
	name := strings.TrimPrefix(key, keyWho)
	if old, ok := r.who[name]; ok && mark <= old.mark {
		return nil
	}
	id := &pb.Identity{}
	err := jobrecord.UnpackMessage(raw, id)
	if err != nil || id.Name != name {
		id = &pb.Identity{Name: name}
	}
	r.who[name] = storedIdentity{mark, id}
	return err
}

func (c *Core) dropAccess(key string) {
	c.rights.stale = true
	delete(c.rights.who, strings.TrimPrefix(key, keyWho))
}

// guarded reports whether rights are in force.
func (c *Core) guarded() bool { return c.rights.rolesMark != 0 }

const notYet = "rights are not in force yet, or what is done can't be recorded yet"

// closed reports whether rights shall be in force and are not yet, or what is done can't be recorded yet: nobody is served.
func (c *Core) closed() bool { return c.cfg.Access != nil && !c.guarded() || c.mute() }

// whole is all rights as a message.
func (r *rights) whole() *pb.Access {
	a := &pb.Access{Roles: r.roles.GetRoles(), WorkersSign: r.roles.GetWorkersSign()}
	for _, name := range sortedKeys(r.who) {
		a.Identities = append(a.Identities, r.who[name].id)
	}
	return a
}

// freshRights makes the policy anew when the rights have changed, and hands it to the edges, which tell from it
// whose token it is. Rights that don't fit together let nobody in.
func (c *Core) freshRights() *access.Policy {
	r := &c.rights
	if !r.stale && r.policy != nil {
		return r.policy
	}
	r.stale = false
	p, err := access.New(r.whole())
	if err != nil {
		c.note("error", "rights do not fit together: nobody is let in", "err", err.Error())
		if p, err = access.New(&pb.Access{}); err != nil {
			panic(err) // no rights at all are rights
		}
	}
	r.policy = p
	return p
}

// tellRights hands the policy to the edges.
func (c *Core) tellRights() {
	if c.guarded() && c.freshRights() != c.rights.told {
		c.rights.told = c.rights.policy
		c.emit(Rights{Policy: c.rights.policy})
	}
}

// may decides whether somebody may do something, by the rights as they are known here.
func (c *Core) may(cr Cred, a access.Action) access.Decision {
	if !c.guarded() {
		return access.Decision{Allowed: !c.closed()}
	}
	p := c.freshRights()
	if !c.holdsKey(cr) {
		return access.Decision{Reason: "the key was revoked"}
	}
	return p.Decide(cr.Who, a)
}

// onRights are the conditions under which a decision about somebody still holds.
func (c *Core) onRights(cr Cred) []wire.Compare {
	if !c.guarded() {
		if c.form() < formAccess {
			return nil
		}
		return []wire.Compare{{Key: keyRoles}} // they may come into force meanwhile
	}
	return append([]wire.Compare{{Key: keyRoles, Revision: c.rights.rolesMark}, {Key: keyWho + cr.Who, Revision: c.rights.who[cr.Who].mark}}, c.unrecorded()...)
}

func (c *Core) mayRead(cr Cred, j *job) bool {
	if !c.guarded() {
		return true
	}
	team, class := j.rec.TeamAndClass()
	return c.may(cr, access.Action{Verb: pb.Verb_read, Team: team, Class: class}).Allowed
}

// mayRepeat decides whether the submission of a job that exists is answered with its state: to whoever may
// read it, and to whoever may submit such a job and repeats just that.
func (c *Core) mayRepeat(cr Cred, s *wire.JobSpec, j *job) bool {
	if c.mayRead(cr, j) {
		return true
	}
	team, class := j.rec.TeamAndClass()
	return s != nil && s.Team == team && s.Class == class && c.may(cr, submission(s)).Allowed
}

func submission(s *wire.JobSpec) access.Action {
	return access.Action{Verb: pb.Verb_submit, Team: s.Team, Class: s.Class, Priority: s.Priority}
}

// forbid refuses somebody for lack of a right, and has that recorded.
func (c *Core) forbid(req uint64, cr Cred, verb, object, why string) {
	c.refusedAct(cr, verb, object, why)
	c.reply(req, 403, wire.Error{Error: why})
}

// pollGuarded answers a poll by the rights after a barrier. Who may not read a job learns no more than
// that there is none.
func (c *Core) pollGuarded(in Poll) {
	c.lookAt(in.Req, in.ID, func(j *job) {
		if j == nil || !c.mayRead(in.By, j) {
			if j != nil {
				c.refusedAct(in.By, "read", in.ID, "no right to read it")
			}
			c.reply(in.Req, 404, wire.Error{Error: "no such job"})
			return
		}
		c.reply(in.Req, 200, c.state(j))
	})
}

// cancelGuarded lets those cancel who may; to those who may not even read the job, there is none.
func (c *Core) cancelGuarded(in Cancel) {
	c.lookAt(in.Req, in.ID, func(j *job) {
		if j == nil || !c.mayCancel(in.By, j) && !c.mayRead(in.By, j) {
			if j != nil {
				c.refusedAct(in.By, "cancel", in.ID, "no right to cancel or read it")
			}
			c.reply(in.Req, 404, wire.Error{Error: "no such job"})
			return
		}
		if !c.mayCancel(in.By, j) {
			c.forbid(in.Req, in.By, "cancel", in.ID, "no right to cancel it")
			return
		}
		c.queueCancel(j, in)
	})
}

func (c *Core) mayCancel(cr Cred, j *job) bool {
	team, class := j.rec.TeamAndClass()
	return c.may(cr, access.Action{Verb: pb.Verb_cancel, Team: team, Class: class}).Allowed
}

// lookAt calls f with a job as of a barrier that begins now; nil: there is none.
func (c *Core) lookAt(req uint64, id string, f func(j *job)) {
	switch {
	case !c.replica.loaded:
		c.refuse(req, "not caught up")
	case c.stateDown():
		c.refuse(req, "state service not reached")
	default:
		c.afterBarrier(func(ok bool) {
			if !ok {
				c.refuse(req, "state service not reached")
				return
			}
			if !wire.ValidJobID(id) {
				f(nil)
				return
			}
			c.findFor(req, id, f)
		})
	}
}

// submitGuarded lets those submit who may; what follows is as without rights, except that the write is on
// condition of them.
func (c *Core) submitGuarded(in Submit) {
	if in.ID == "" {
		c.reply(in.Req, 400, wire.Error{Error: in.Bad})
		return
	}
	if in.Bad == "" && c.may(in.By, submission(&in.Spec)).Allowed && c.recall(in.ID) == nil {
		c.submitNew(in)
		return
	}
	c.lookAt(in.Req, in.ID, func(j *job) {
		switch {
		case j != nil && c.mayRepeat(in.By, in.spec(), j):
			c.reply(in.Req, 200, c.state(j))
		case in.Bad != "":
			c.reply(in.Req, 400, wire.Error{Error: in.Bad})
		default:
			if d := c.may(in.By, submission(&in.Spec)); !d.Allowed {
				c.forbid(in.Req, in.By, "submit", in.ID, d.Reason)
			} else if j != nil {
				c.forbid(in.Req, in.By, "submit", in.ID, "the id is another's")
			} else {
				c.submitNew(in)
			}
		}
	})
}

// spec is what was submitted, nil if it was malformed.
func (in *Submit) spec() *wire.JobSpec {
	if in.Bad != "" {
		return nil
	}
	return &in.Spec
}

// stillMay drops the cancellations of those who have lost the right since they asked, and returns the
// conditions under which the others have it.
func (c *Core) stillMay(j *job) []wire.Compare {
	var conds []wire.Compare
	j.cancellation.waiters = slices.DeleteFunc(j.cancellation.waiters, func(x cancelReq) bool {
		if c.guarded() && !c.mayCancel(x.by, j) {
			c.forbid(x.req, x.by, "cancel", j.id, "no right to cancel it")
			return true
		}
		for _, k := range c.onRights(x.by) {
			if !slices.Contains(conds, k) {
				conds = append(conds, k)
			}
		}
		return false
	})
	return conds
}

// seedAccess writes the rights of the file where there are none: identities first, then the roles, with which
// they come into force. A seeding that was interrupted goes on.
func (c *Core) seedAccess() {
	r := &c.rights
	if c.cfg.Access == nil || c.guarded() || c.mute() || c.cfg.AuditKey != nil && !c.auditing() || !c.leads() || !c.leaseOK() || c.form() < formAccess || r.seeding || c.now < r.seedAt || c.transactions.rateLimit.IsPaused(c.now) || c.transactions.rateLimit.WriteTokens < 1 {
		return
	}
	seed := c.cfg.Access.Source()
	t := wire.Txn{Compare: []wire.Compare{{Key: keyLeader, Revision: c.leadership.leader.mark}, {Key: keyRoles}}}
	put := func(key string, m protobuf.Message) bool {
		raw, err := jobrecord.PackMessage(m)
		if err != nil || len(raw) > c.cfg.ValueBytes {
			c.note("error", "rights can't be written", "key", key, "bytes", len(raw), "err", fmt.Sprint(err))
			return false
		}
		if key != keyRoles {
			t.Compare = append(t.Compare, wire.Compare{Key: key})
		}
		t.Then = append(t.Then, wire.Write{Put: key, Value: raw})
		return true
	}
	for _, id := range seed.Identities {
		if _, there := r.who[id.Name]; !there && len(t.Then) < max(1, min(c.cfg.TxnOps, int(c.transactions.rateLimit.WriteTokens))-c.besides()) && !put(keyWho+id.Name, id) {
			r.seedAt = c.now + 10*time.Second
			return
		}
	}
	if len(t.Then) == 0 && !put(keyRoles, &pb.Access{Roles: seed.Roles, WorkersSign: seed.WorkersSign}) {
		r.seedAt = c.now + 10*time.Second
		return
	}
	var seeded []string
	for _, w := range t.Then {
		seeded = append(seeded, strings.TrimPrefix(w.Put, keyAccess))
	}
	told := c.carryBeside(&t, "rights", auditlog.Event{Verb: "administer", Object: "rights", Reason: "first rights: " + strings.Join(seeded, " ")})
	r.seeding = true
	c.commit(t, &txn{done: func(status int, _ wire.TxnResponse) {
		told(status)
		c.afterBarrier(func(bool) { r.seeding = false }) // what came of it shows there
	}})
}

// change carries out a change of an identity's rights by somebody who may.
func (c *Core) change(in Change) {
	switch {
	case !c.replica.loaded || c.stateDown() || !c.leaseOK():
		c.refuse(in.Req, "state service not reached")
	case !c.guarded():
		c.refuse(in.Req, "rights are not in force")
	default:
		c.soonAfterBarrier(func(ok bool) {
			switch {
			case !ok:
				c.refuse(in.Req, "state service not reached")
			case c.closed(): // an entry of a life that has not begun would have the name of another
				c.refuse(in.Req, notYet)
			default:
				c.changeNow(in)
			}
		})
	}
}

func (c *Core) changeNow(in Change) {
	r := &c.rights
	d := c.may(in.By, access.Action{Verb: pb.Verb_administer})
	if !d.Allowed && !(in.ownKeys() && c.holdsKey(in.By)) {
		c.forbid(in.Req, in.By, "administer", in.Who, d.Reason)
		return
	}
	old := r.who[in.Who]
	next, err := in.apply(old.id)
	if err != nil {
		c.reply(in.Req, 422, wire.Error{Error: err.Error()})
		return
	}
	all := r.whole()
	all.Identities = slices.DeleteFunc(all.Identities, func(x *pb.Identity) bool { return x.Name == in.Who })
	w := wire.Write{Delete: keyWho + in.Who}
	if next != nil {
		all.Identities = append(all.Identities, next)
		w = wire.Write{Put: keyWho + in.Who}
		if w.Value, err = jobrecord.PackMessage(next); err == nil && len(w.Value) > c.cfg.ValueBytes {
			err = fmt.Errorf("identity takes %d bytes, %d are allowed", len(w.Value), c.cfg.ValueBytes)
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
		c.reply(in.Req, 422, wire.Error{Error: err.Error()})
		return
	}
	t := wire.Txn{Compare: c.onRights(in.By), Then: []wire.Write{w}}
	if in.By.Who != in.Who {
		t.Compare = append(t.Compare, wire.Compare{Key: keyWho + in.Who, Revision: old.mark})
	}
	told := c.carryBeside(&t, "who/"+in.Who, actOf(in.By, "administer", in.Who, in.summary()))
	c.commit(t, &txn{done: func(status int, _ wire.TxnResponse) {
		told(status)
		c.afterBarrier(func(bool) {}) // it shows here too, soon
		if status != 200 {
			c.refuse(in.Req, "rights changed meanwhile, or the outcome is not known: ask again")
			return
		}
		c.note("info", "rights changed", "by", in.By.Who, "who", in.Who, "change", in.Edit)
		c.reply(in.Req, 200, wire.PermissionsEditResult{Identity: in.Who, Cancelled: c.cancelQueued(in)})
	}})
}

// cancelQueued cancels, as somebody asked for by name, what another has submitted and has not begun.
func (c *Core) cancelQueued(in Change) (ids []string) {
	if !in.Edit.CancelQueued {
		return nil
	}
	for _, j := range c.open {
		if j.rec != nil && j.rec.Spec != nil && j.rec.Submitter == in.Who && !j.final() && len(j.place) == 0 && j.rec.CompletedTasks.Count() == 0 && c.mayCancel(in.By, j) {
			ids = append(ids, j.id)
			c.queueCancel(j, Cancel{ID: j.id, By: in.By, UnixMS: c.unixMS()})
		}
	}
	return ids
}

// ownKeys reports whether a change is of nothing but the keys of whoever asks for it: everyone may replace
// their own.
func (in *Change) ownKeys() bool {
	e := &in.Edit
	return in.By.Who == in.Who && len(e.GrantRoles)+len(e.RevokeRoles) == 0 && !e.Delete && !e.CancelQueued && e.Certificate == nil
}

// holdsKey reports whether a key is still its holder's.
func (c *Core) holdsKey(cr Cred) bool {
	return c.freshRights().KeyBelongsTo(cr.Who, cr.Key)
}

// summary tells in short what is changed.
func (in *Change) summary() string {
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

// apply is an identity after a change; nil if it is no more.
func (in *Change) apply(old *pb.Identity) (*pb.Identity, error) {
	e := &in.Edit
	if e.Delete {
		if old == nil {
			return nil, fmt.Errorf("nobody is called %q", in.Who)
		}
		return nil, nil
	}
	next := &pb.Identity{Name: in.Who, Service: e.Service}
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
		if !slices.ContainsFunc(next.Keys, func(x *pb.PublicKey) bool { return x.Id == k.ID && x.Ed25519 == k.Ed25519 }) {
			next.Keys = append(next.Keys, &pb.PublicKey{Id: k.ID, Ed25519: k.Ed25519})
		}
	}
	return next, nil
}

// check answers 200 to whoever may do what is bound to no job.
func (c *Core) check(in Check) {
	if c.closed() {
		c.refuse(in.Req, notYet)
		return
	}
	if !c.guarded() {
		c.reply(in.Req, 200, struct{}{})
		return
	}
	c.afterBarrier(c.ifMay(in.Req, in.By, in.Verb, in.Object, func() {
		c.recorder().RecordRead(in.By.Who, in.Verb.String(), in.Object, func(ok bool) {
			if !ok {
				c.refuse(in.Req, "this can't be recorded now")
				return
			}
			c.reply(in.Req, 200, struct{}{})
		})
	}))
}

// ifMay is what follows a barrier: f, if somebody may do what is bound to no job.
func (c *Core) ifMay(req uint64, by Cred, verb access.Verb, object string, f func()) func(ok bool) {
	return func(ok bool) {
		switch d := c.may(by, access.Action{Verb: verb}); {
		case !ok:
			c.refuse(req, "state service not reached")
		case !d.Allowed:
			c.forbid(req, by, verb.String(), object, d.Reason)
		default:
			f()
		}
	}
}

// showRights answers with all rights, to those who may change them.
func (c *Core) showRights(in ShowRights) {
	if !c.guarded() {
		c.refuse(in.Req, "rights are not in force")
		return
	}
	c.afterBarrier(c.ifMay(in.Req, in.By, pb.Verb_administer, "rights", func() {
		c.reply(in.Req, 200, wire.Permissions{Text: access.Format(c.rights.whole())})
	}))
}
