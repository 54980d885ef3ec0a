package sim

import (
	"encoding/base64"
	"fmt"
	"time"

	"dewlift/access"
	"dewlift/core"
	pb "dewlift/proto"
	"dewlift/wire"
)

// permissionView is what the administrator knows about a user's permission.
type permissionView struct {
	granted     bool
	confirmed   bool // the last change was acknowledged, and none is in progress
	confirmedAt time.Duration
}

// PermissionChanging records that a user's permission is about to change.
func (c *Checker) PermissionChanging(user string) {
	c.permissions[user] = permissionView{granted: c.permissions[user].granted}
}

// PermissionChanged records that a change was acknowledged.
func (c *Checker) PermissionChanged(now time.Duration, user string, granted bool) {
	c.permissions[user] = permissionView{granted: granted, confirmed: true, confirmedAt: now}
}

// CheckAuthorized checks a request that was sent at sentAt and succeeded: no revocation of the user's permission may
// have been acknowledged before.
func (c *Checker) CheckAuthorized(sentAt time.Duration, user, verb, id string) {
	view := c.permissions[user]
	if view.confirmed && !view.granted && view.confirmedAt < sentAt {
		c.violated("let_in", "%s of %s by %s %v after the permission was revoked",
			verb, id, user, sentAt-view.confirmedAt)
	}
}

// isSurelyGranted reports whether a user certainly had the permission all the time since sentAt.
func (c *Checker) isSurelyGranted(sentAt time.Duration, user string) bool {
	view := c.permissions[user]
	return view.confirmed && view.granted && view.confirmedAt < sentAt
}

const (
	userCount = 4
	rootUser  = "root"
)

// credentialOf returns the credential of a user.
func credentialOf(user string) core.Credential {
	return core.Credential{Identity: user, KeyID: "key-" + user}
}

// initialPolicy returns the policy that a simulation starts with: every user may do everything with jobs, and root may
// change permissions.
func initialPolicy() *access.Policy {
	verbs := []pb.Verb{pb.Verb_submit, pb.Verb_read, pb.Verb_cancel, pb.Verb_prioritise, pb.Verb_book}
	all := []string{access.AnyGroup}
	config := &pb.Access{Roles: []*pb.Role{
		{Name: "all", Grants: []*pb.Grant{{Verbs: verbs, Teams: all, Classes: all, UpTo: wire.PriorityName(0)}}},
		{Name: "admin", Grants: []*pb.Grant{{Verbs: []pb.Verb{pb.Verb_administer, pb.Verb_audit, pb.Verb_equip}}}},
	}}
	add := func(user string, roles ...string) {
		publicKey := make([]byte, 32)
		copy(publicKey, user)
		encoded := base64.StdEncoding.EncodeToString(publicKey)
		config.Identities = append(config.Identities, &pb.Identity{
			Name: user, Roles: roles,
			Keys: []*pb.PublicKey{{Id: credentialOf(user).KeyID, Ed25519: encoded}},
		})
	}
	add(rootUser, "all", "admin")
	for i := range userCount {
		add(fmt.Sprintf("u%d", i), "all")
	}
	policy, err := access.New(config)
	if err != nil {
		panic(err) // the configuration is constant
	}
	return policy
}

// randomUser draws a user's credential; an empty one if requests are not authorized.
func (s *Simulator) randomUser() core.Credential {
	if !s.options.Permissions {
		return core.Credential{}
	}
	return credentialOf(fmt.Sprintf("u%d", s.rng.IntN(userCount)))
}

// schedulePermissionChanges revokes and grants every user's permission again and again.
func (s *Simulator) schedulePermissionChanges() {
	for i := range userCount {
		user := fmt.Sprintf("u%d", i)
		s.Checker.PermissionChanged(0, user, true)
		granted := true
		var next func()
		next = func() {
			granted = !granted
			edit := wire.PermissionsEdit{GrantRoles: []string{"all"}}
			if !granted {
				edit = wire.PermissionsEdit{RevokeRoles: []string{"all"}, CancelQueued: s.chance(0.2)}
			}
			s.Checker.PermissionChanging(user)
			s.setPermission(user, edit, func() {
				s.Checker.PermissionChanged(s.now, user, granted)
				s.schedule(s.randomDuration(2*time.Second, 40*time.Second), next)
			})
		}
		s.schedule(s.randomDuration(10*time.Second, 60*time.Second), next)
	}
}

// permissionTimeout is how long the administrator waits for a response.
const permissionTimeout = 5 * time.Second

// setPermission requests a change until it is acknowledged.
func (s *Simulator) setPermission(user string, edit wire.PermissionsEdit, done func()) {
	s.sendRequest(s.anyNode(), permissionTimeout, func(requestID uint64) core.Input {
		return core.UpdatePermissions{
			RequestID: requestID, Caller: credentialOf(rootUser), Identity: user, Edit: edit,
		}
	}, func(response core.Response, ok bool) {
		if !ok || response.Status != wire.StatusOK {
			s.schedule(retryInterval, func() { s.setPermission(user, edit, done) })
			return
		}
		for _, id := range response.Body.(wire.PermissionsEditResult).Cancelled {
			s.Checker.CancelRequested(id)
		}
		done()
	})
}

// checkPermission checks the status of a response against the caller's permission. It returns false if the response
// says nothing about the job, because the caller may not have been permitted to see it.
func (s *Simulator) checkPermission(
	caller core.Credential,
	sentAt time.Duration,
	verb, id string,
	status wire.Status,
) bool {
	if !s.options.Permissions {
		return true
	}
	if status == wire.StatusOK || status == wire.StatusCreated {
		s.Checker.CheckAuthorized(sentAt, caller.Identity, verb, id)
		return true
	}
	surelyGranted := s.Checker.isSurelyGranted(sentAt, caller.Identity)
	if status == wire.StatusForbidden && surelyGranted {
		s.Checker.violated("shut_out", "%s of %s was denied to %s, who is permitted", verb, id, caller.Identity)
	}
	return status != wire.StatusForbidden && surelyGranted
}
