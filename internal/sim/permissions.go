package sim

import (
	"dewlift/access"
	"dewlift/core"
	"dewlift/wire"
	"encoding/base64"
	"fmt"
	"slices"
	"time"

	pb "dewlift/proto"
)

// permissionView is what the one who changes rights knows of somebody's.
type permissionView struct {
	granted     bool
	confirmed   bool          // the last change was answered, and none is asked for
	confirmedAt time.Duration // when it was
}

// PermissionChanging notes that somebody's right is about to change.
func (k *Checker) PermissionChanging(who string) {
	k.permissions[who] = permissionView{granted: k.permissions[who].granted}
}

// PermissionChanged notes that the change was answered.
func (k *Checker) PermissionChanged(now time.Duration, who string, held bool) {
	k.permissions[who] = permissionView{granted: held, confirmed: true, confirmedAt: now}
}

// CheckAuthorized checks an act that was answered well: it was asked for at began, and whoever asked must not have
// lost the right for certain before.
func (k *Checker) CheckAuthorized(began time.Duration, who, verb, id string) {
	if r := k.permissions[who]; r.confirmed && !r.granted && r.confirmedAt < began {
		k.violated("let_in", "%s of %s by %s %v after the right was revoked", verb, id, who, began-r.confirmedAt)
	}
}

// isSurelyGranted reports whether somebody had the right for certain all the time since began.
func (k *Checker) isSurelyGranted(began time.Duration, who string) bool {
	r := k.permissions[who]
	return r.confirmed && r.granted && r.confirmedAt < began
}

const (
	userCount = 4
	rootUser  = "root"
)

func credentialOf(who string) core.Credential {
	return core.Credential{Identity: who, KeyID: "key-" + who}
}

// initialPolicy are the first rights of a world: everyone may do everything with jobs, root may change rights.
func initialPolicy() *access.Policy {
	verbs := []pb.Verb{pb.Verb_submit, pb.Verb_read, pb.Verb_cancel, pb.Verb_prioritise, pb.Verb_book}
	all := []string{access.AnyGroup}
	a := &pb.Access{Roles: []*pb.Role{
		{Name: "all", Grants: []*pb.Grant{{Verbs: verbs, Teams: all, Classes: all, UpTo: wire.PriorityName(0)}}},
		{Name: "admin", Grants: []*pb.Grant{{Verbs: []pb.Verb{pb.Verb_administer, pb.Verb_audit, pb.Verb_equip}}}},
	}}
	add := func(who string, roles ...string) {
		public := make([]byte, 32)
		copy(public, who)
		a.Identities = append(a.Identities, &pb.Identity{
			Name: who, Roles: roles,
			Keys: []*pb.PublicKey{{Id: credentialOf(who).KeyID, Ed25519: base64.StdEncoding.EncodeToString(public)}},
		})
	}
	add(rootUser, "all", "admin")
	for i := range userCount {
		add(fmt.Sprintf("u%d", i), "all")
	}
	p, err := access.New(a)
	if err != nil {
		panic(err) // the same in every world
	}
	return p
}

// randomUser is who submits a job.
func (w *Simulator) randomUser() core.Credential {
	if !w.options.Permissions {
		return core.Credential{}
	}
	return credentialOf(fmt.Sprintf("u%d", w.rng.IntN(userCount)))
}

// schedulePermissionChanges takes everyone's right away and gives it back, time and again.
func (w *Simulator) schedulePermissionChanges() {
	for i := range userCount {
		who := fmt.Sprintf("u%d", i)
		w.Checker.PermissionChanged(0, who, true)
		held := true
		var next func()
		next = func() {
			held = !held
			edit := wire.PermissionsEdit{GrantRoles: []string{"all"}}
			if !held {
				edit = wire.PermissionsEdit{RevokeRoles: []string{"all"}, CancelQueued: w.chance(0.2)}
			}
			w.Checker.PermissionChanging(who)
			w.setPermission(who, edit, func() {
				w.Checker.PermissionChanged(w.now, who, held)
				w.schedule(w.randomDuration(2*time.Second, 40*time.Second), next)
			})
		}
		w.schedule(w.randomDuration(10*time.Second, 60*time.Second), next)
	}
}

// setPermission asks for a change until it is answered.
func (w *Simulator) setPermission(who string, edit wire.PermissionsEdit, done func()) {
	w.sendRequest(w.nodes[w.rng.IntN(len(w.nodes))], 5*time.Second, func(r uint64) core.Input {
		return core.UpdatePermissions{RequestID: r, Caller: credentialOf(rootUser), Identity: who, Edit: edit}
	}, func(r core.Response, ok bool) {
		if !ok || r.Status != wire.StatusOK {
			w.schedule(time.Second, func() { w.setPermission(who, edit, done) })
			return
		}
		for _, id := range r.Body.(wire.PermissionsEditResult).Cancelled {
			w.Checker.CancelRequested(id)
		}
		done()
	})
}

// checkPermission checks an answer by the rights of whoever asked; false if it says nothing about the job, as
// they may not have been allowed to know.
func (w *Simulator) checkPermission(by core.Credential, began time.Duration, verb, id string, status wire.Status) bool {
	if !w.options.Permissions {
		return true
	}
	if slices.Contains([]wire.Status{wire.StatusOK, wire.StatusCreated}, status) {
		w.Checker.CheckAuthorized(began, by.Identity, verb, id)
		return true
	}
	if status == wire.StatusForbidden && w.Checker.isSurelyGranted(began, by.Identity) {
		w.Checker.violated("shut_out", "%s of %s by %s, who may", verb, id, by.Identity)
	}
	return status != wire.StatusForbidden && w.Checker.isSurelyGranted(began, by.Identity)
}
