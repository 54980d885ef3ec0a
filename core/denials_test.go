package core

import (
	"slices"
	"strings"
	"testing"
	"time"

	protobuf "google.golang.org/protobuf/proto"

	"dewlift/audit"
	"dewlift/booking"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/core/reservations"
	pb "dewlift/proto"
	"dewlift/wire"
)

// These tests guard against a denied request whose effect is written nevertheless. That happened to an equipment
// list: its denial left the outcome at the zero value, which meant "done", and only one of two later conditions
// checked for the denial, so the list was written although the response was 403. The tests send each verb of the
// API without permission and check all writes that follow.

// equipmentText is the equipment list in force in these tests: one kiln that is reserved by the minute.
const equipmentText = `pieces { name: "k" kind: "kiln" slot_minutes: 1 }`

// deniedRequest is a request for which potter of examplePolicy lacks the permission.
type deniedRequest struct {
	name   string
	verb   string // in the audit log
	object string // in the audit log
	status wire.Status
	input  Input
}

// deniedRequestID is the request ID of each denied request.
const deniedRequestID = 77

// deniedRequests returns a request for each verb that needs a permission.
func deniedRequests() []deniedRequest {
	submission := submittedBy(potter, testSubmission("wk-2"))
	submission.RequestID, submission.Spec.Team = deniedRequestID, "u"
	reserve := func(verb booking.Verb) ReserveEquipment {
		request := wire.ReservationRequest{
			ID:    "r-1",
			Team:  "t",
			Slots: []wire.SlotRequest{{Equipment: "k", From: "2027-03-04T08:00"}},
		}
		return ReserveEquipment{RequestID: deniedRequestID, Caller: potter, Verb: verb, Request: request}
	}
	forbidden, notFound := wire.StatusForbidden, wire.StatusNotFound
	return []deniedRequest{
		{"submit", "submit", "wk-2", forbidden, submission},
		{"read job", "read", "wk-1", notFound, GetJob{RequestID: deniedRequestID, ID: "wk-1", Caller: potter}},
		{"cancel", "cancel", "wk-1", notFound, CancelJob{RequestID: deniedRequestID, ID: "wk-1", Caller: potter}},
		{
			"change permissions", "administer", "potter", forbidden,
			UpdatePermissions{
				RequestID: deniedRequestID,
				Caller:    potter,
				Identity:  "potter",
				Edit:      wire.PermissionsEdit{GrantRoles: []string{"admin"}},
			},
		},
		{
			"change another's permissions", "administer", "anna", forbidden,
			UpdatePermissions{
				RequestID: deniedRequestID,
				Caller:    potter,
				Identity:  "anna",
				Edit:      wire.PermissionsEdit{RevokeKeys: []string{"a1"}},
			},
		},
		{
			"list permissions", "administer", "rights", forbidden,
			ListPermissions{RequestID: deniedRequestID, Caller: potter},
		},
		{
			"check a permission", "administer", "site", forbidden,
			CheckPermission{RequestID: deniedRequestID, Caller: potter, Verb: pb.Verb_administer, Object: "site"},
		},
		{"read the audit log", "audit", "audit", forbidden, ReadAudit{RequestID: deniedRequestID, Caller: potter}},
		{
			"change the equipment", "change equipment", "equipment", forbidden,
			SetEquipment{
				RequestID: deniedRequestID,
				Caller:    potter,
				Edit:      wire.EquipmentEdit{Text: `pieces { name: "other" kind: "kiln" slot_minutes: 1 }`},
			},
		},
		{
			"change the priority classes", "administer", "lanes", forbidden,
			SetPriorityClasses{RequestID: deniedRequestID, Caller: potter, Text: `lanes { name: "all" }`},
		},
		{"reserve", "book", "r-1", forbidden, reserve(booking.VerbCreate)},
		{"confirm a reservation", "confirm booking", "r-1", forbidden, reserve(booking.VerbConfirm)},
		{"move a reservation", "move booking", "r-1", forbidden, reserve(booking.VerbMove)},
		{"end a reservation", "end booking", "r-1", forbidden, reserve(booking.VerbEnd)},
	}
}

// putEquipment puts equipmentText in force, at a revision of the store.
func putEquipment(t *testing.T, c *Core, now time.Duration, revision uint64) {
	t.Helper()
	c.schema.active = SchemaVersion
	inventory, err := booking.Parse([]byte(equipmentText))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := reservations.EncodeInventory(inventory.Source())
	if err != nil {
		t.Fatal(err)
	}
	list := wire.WatchEvent{Put: reservations.KeyInventory, Value: raw, Revision: revision}
	watchEvents(c, now, revision, list)
}

// newAuditingCoreWithEquipment returns the controller of newAuditingCore with equipment in force and a queued job
// of anna.
func newAuditingCoreWithEquipment(t *testing.T) *Core {
	t.Helper()
	c := newAuditingCore(t)
	putEquipment(t, c, 1500*time.Millisecond, 2000)
	c.Handle(1500*time.Millisecond, WallClock{UnixMS: 1_700_000_000_000})
	c.Handle(1500*time.Millisecond, submittedBy(anna, testSubmission("wk-1")))
	answerAndCollectWrites(t, c, 1500*time.Millisecond, 10*time.Second)
	if c.knownJob("wk-1") == nil || !c.reservations.service.IsEnabled() {
		t.Fatal("there is no job, or no equipment")
	}
	return c
}

// auditedDenials returns how often the audit entries among the writes record a denial of the action of an identity,
// and the actions of that identity that they record as done.
func auditedDenials(t *testing.T, writes []wire.Write, identity, verb, object string) (denials uint32, done []string) {
	t.Helper()
	for _, entry := range auditEntriesIn(t, writes) {
		for _, item := range entry.Items {
			if entry.Outcome == pb.AuditOutcome_refused && item.Who == identity && item.Verb == verb &&
				item.Object == object {
				denials += item.Count
			}
		}
		if entry.Outcome == pb.AuditOutcome_done && entry.Who == identity {
			done = append(done, entry.Verb+" "+entry.Object)
		}
	}
	return denials, done
}

// A denied request must get status 403, or 404 where its caller must not learn whether a job exists. It must change
// nothing in the store except the audit log, which must record the denial exactly once.
func TestDeniedRequestChangesNothing(t *testing.T) {
	for _, tt := range deniedRequests() {
		t.Run(tt.name, func(t *testing.T) {
			c := newAuditingCoreWithEquipment(t)
			c.Handle(10*time.Second, tt.input)
			statuses, writes := responsesAndWrites(c, 20*time.Second)
			if len(statuses) != 1 || statuses[0] != tt.status {
				t.Errorf("statuses %v, want one %v", statuses, tt.status)
			}
			for _, write := range writes {
				if key := write.Put + write.Delete; !strings.HasPrefix(key, auditlog.HeadPrefix) &&
					!strings.HasPrefix(key, audit.BlockPrefix) {
					t.Errorf("a denied request writes %s: %s", key, write.Value)
				}
			}
			denials, done := auditedDenials(t, writes, potter.Identity, tt.verb, tt.object)
			if denials != 1 || len(done) > 0 {
				t.Errorf("%d denials are recorded, and as done %v", denials, done)
			}
		})
	}
}

// grantToPotter gives potter a role "booker" with verbs for all teams and classes, at a revision of the store.
func grantToPotter(t *testing.T, c *Core, revision uint64, verbs ...pb.Verb) {
	t.Helper()
	roles := c.permissions.roles.Roles
	roles = append(roles[:len(roles):len(roles)], &pb.Role{
		Name:   "booker",
		Grants: []*pb.Grant{{Verbs: verbs, Teams: []string{"*"}, Classes: []string{"*"}}},
	})
	identity := c.permissions.identities[potter.Identity].identity
	held := &pb.Identity{Name: identity.Name, Keys: identity.Keys, Roles: []string{"visitor", "booker"}}
	watchEvents(c, 10*time.Second, revision,
		packedEvent(t, keyRoles, &pb.Access{Roles: roles}, revision),
		packedEvent(t, keyIdentity+potter.Identity, held, revision))
}

// If a permission is revoked between the decision on a request and its commit, the request must be decided again:
// then it must be denied, and nothing written.
func TestRevocationBetweenDecisionAndCommit(t *testing.T) {
	c := newAuditingCoreWithEquipment(t)
	original := c.permissions.roles.Roles
	grantToPotter(t, c, 3000, pb.Verb_equip, pb.Verb_book)
	edit := wire.EquipmentEdit{Text: `pieces { name: "other" kind: "kiln" slot_minutes: 1 }`}
	c.Handle(10*time.Second, SetEquipment{RequestID: deniedRequestID, Caller: potter, Edit: edit})
	commits := outputsOfType[CommitTxn](c.Advance(10 * time.Second))
	if len(commits) != 1 || len(commits[0].Txn.Then) == 0 {
		t.Fatalf("transactions %+v, want one that writes the list", commits)
	}
	comparesRoles := false
	for _, compare := range commits[0].Txn.Compare {
		comparesRoles = comparesRoles || compare.Key == keyRoles && compare.Revision == 3000
	}
	if !comparesRoles {
		t.Fatalf("the change does not depend on the permissions: %+v", commits[0].Txn.Compare)
	}
	revoked := packedEvent(t, keyRoles, &pb.Access{Roles: append(original[:len(original):len(original)],
		&pb.Role{Name: "booker", Grants: []*pb.Grant{{Verbs: []pb.Verb{pb.Verb_audit}}}})}, 3001)
	watchEvents(c, 10*time.Second, 3001, revoked)
	conflict := wire.TxnResponse{Failed: []string{keyRoles}}
	c.Handle(10*time.Second, TxnResult{ID: commits[0].ID, Status: wire.StatusConflict, Reply: conflict})
	statuses, writes := responsesAndWrites(c, 15*time.Second)
	for _, write := range writes {
		if write.Put == reservations.KeyInventory {
			t.Errorf("the list is written after the permission was revoked: %s", write.Value)
		}
	}
	if len(statuses) != 1 || statuses[0] != wire.StatusForbidden {
		t.Errorf("statuses %v, want one %v", statuses, wire.StatusForbidden)
	}
}

// deniedRequestAt is when the denied request is handled.
const deniedRequestAt = 10 * time.Second

// responsesAndWrites commits all transactions from deniedRequestAt on. It returns their writes and the statuses of the
// responses to the denied request.
func responsesAndWrites(c *Core, to time.Duration) (statuses []wire.Status, writes []wire.Write) {
	accepts := func(txn wire.Txn) bool {
		writes = append(writes, txn.Then...)
		return true
	}
	answerAndObserve(c, deniedRequestAt, to, accepts, func(out Output) {
		if response, ok := out.(Response); ok && response.RequestID == deniedRequestID {
			statuses = append(statuses, response.Status)
		}
	})
	return statuses, writes
}

// packedEvent returns the watch event of a write of a packed message.
func packedEvent(t *testing.T, key string, message protobuf.Message, revision uint64) wire.WatchEvent {
	t.Helper()
	raw, err := jobrecord.PackMessage(message)
	if err != nil {
		t.Fatal(err)
	}
	return wire.WatchEvent{Put: key, Value: raw, Revision: revision}
}

// Every change that needs a permission must be in the audit log. A new list of priority classes was stored without
// an audit entry, because its transaction was the only one that did not add any.
func TestChangeOfPriorityClassesIsAudited(t *testing.T) {
	c := newAuditingCoreWithEquipment(t)
	in := SetPriorityClasses{RequestID: deniedRequestID, Caller: anna, Text: `lanes { name: "all" }`}
	c.Handle(10*time.Second, in)
	statuses, writes := responsesAndWrites(c, 20*time.Second)
	if len(statuses) != 1 || statuses[0] != wire.StatusOK {
		t.Fatalf("statuses %v, want one %v", statuses, wire.StatusOK)
	}
	if _, done := auditedDenials(t, writes, anna.Identity, "", ""); !slices.Equal(done, []string{"administer lanes"}) {
		t.Errorf("recorded are %v", done)
	}
}
