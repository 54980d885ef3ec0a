package sim

import (
	"encoding/base64"
	"fmt"
	"slices"
	"time"

	"dewlift/access"
	"dewlift/core"
	pb "dewlift/proto"
	"dewlift/wire"
)

// right is what the one who changes rights knows of somebody's.
type right struct {
	held  bool
	sure  bool          // the last change was answered, and none is asked for
	since time.Duration // when it was
}

// Asking notes that somebody's right is about to change.
func (k *Checker) Asking(who string) { k.rights[who] = right{held: k.rights[who].held} }

// Changed notes that the change was answered.
func (k *Checker) Changed(now time.Duration, who string, held bool) {
	k.rights[who] = right{held: held, sure: true, since: now}
}

// LetIn checks an act that was answered well: it was asked for at began, and whoever asked must not have
// lost the right for certain before.
func (k *Checker) LetIn(began time.Duration, who, verb, id string) {
	if r := k.rights[who]; r.sure && !r.held && r.since < began {
		k.broken("let_in", "%s of %s by %s %v after the right was revoked", verb, id, who, began-r.since)
	}
}

// holds reports whether somebody had the right for certain all the time since began.
func (k *Checker) holds(began time.Duration, who string) bool {
	r := k.rights[who]
	return r.sure && r.held && r.since < began
}

const (
	people = 4
	root   = "root"
)

func cred(who string) core.Cred { return core.Cred{Who: who, Key: "key-" + who} }

// policy are the first rights of a world: everyone may do everything with jobs, root may change rights.
func policy() *access.Policy {
	verbs := []pb.Verb{pb.Verb_submit, pb.Verb_read, pb.Verb_cancel, pb.Verb_prioritise, pb.Verb_book}
	all := []string{access.AnyGroup}
	a := &pb.Access{Roles: []*pb.Role{
		{Name: "all", Grants: []*pb.Grant{{Verbs: verbs, Teams: all, Classes: all, UpTo: wire.PriorityName(0)}}},
		{Name: "admin", Grants: []*pb.Grant{{Verbs: []pb.Verb{pb.Verb_administer, pb.Verb_audit, pb.Verb_equip}}}}}}
	add := func(who string, roles ...string) {
		public := make([]byte, 32)
		copy(public, who)
		a.Identities = append(a.Identities, &pb.Identity{Name: who, Roles: roles,
			Keys: []*pb.PublicKey{{Id: cred(who).Key, Ed25519: base64.StdEncoding.EncodeToString(public)}}})
	}
	add(root, "all", "admin")
	for i := range people {
		add(fmt.Sprintf("u%d", i), "all")
	}
	p, err := access.New(a)
	if err != nil {
		panic(err) // the same in every world
	}
	return p
}

// someone is who submits a job.
func (w *World) someone() core.Cred {
	if !w.opt.Rights {
		return core.Cred{}
	}
	return cred(fmt.Sprintf("u%d", w.rng.IntN(people)))
}

// changeRights takes everyone's right away and gives it back, time and again.
func (w *World) changeRights() {
	for i := range people {
		who := fmt.Sprintf("u%d", i)
		w.Check.Changed(0, who, true)
		held := true
		var next func()
		next = func() {
			held = !held
			edit := wire.PermissionsEdit{GrantRoles: []string{"all"}}
			if !held {
				edit = wire.PermissionsEdit{RevokeRoles: []string{"all"}, CancelQueued: w.chance(0.2)}
			}
			w.Check.Asking(who)
			w.setRight(who, edit, func() {
				w.Check.Changed(w.now, who, held)
				w.after(w.between(2*time.Second, 40*time.Second), next)
			})
		}
		w.after(w.between(10*time.Second, 60*time.Second), next)
	}
}

// setRight asks for a change until it is answered.
func (w *World) setRight(who string, edit wire.PermissionsEdit, done func()) {
	w.ask(w.nodes[w.rng.IntN(len(w.nodes))], 5*time.Second, func(r uint64) core.Input {
		return core.Change{Req: r, By: cred(root), Who: who, Edit: edit}
	}, func(r core.Reply, ok bool) {
		if !ok || r.Status != 200 {
			w.after(time.Second, func() { w.setRight(who, edit, done) })
			return
		}
		for _, id := range r.Body.(wire.PermissionsEditResult).Cancelled {
			w.Check.Asked(id)
		}
		done()
	})
}

// answeredTo checks an answer by the rights of whoever asked; false if it says nothing about the job, as
// they may not have been allowed to know.
func (w *World) answeredTo(by core.Cred, began time.Duration, verb, id string, status int) bool {
	if !w.opt.Rights {
		return true
	}
	if slices.Contains([]int{200, 201}, status) {
		w.Check.LetIn(began, by.Who, verb, id)
		return true
	}
	if status == 403 && w.Check.holds(began, by.Who) {
		w.Check.broken("shut_out", "%s of %s by %s, who may", verb, id, by.Who)
	}
	return status != 403 && w.Check.holds(began, by.Who)
}
