package core

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"dewlift/audit"
)

// TestStoredFormatIsStable guards the stored encoding of types of this package: controllers of other versions must be
// able to read what this one writes, and the reverse. Other stored types are covered by internal/golden.
func TestStoredFormatIsStable(t *testing.T) {
	pendingAudit := []audit.PendingEntry{
		{Node: "node-a", Incarnation: 3, Sequence: 4, Entry: []byte("entry"), MAC: []byte("tag")},
	}
	for _, tc := range []struct {
		value any
		want  string
	}{
		{&cancelMarker{CancelMS: 1_700_000_000_123}, `{"cm":1700000000123}`},
		{
			&cancelMarker{CancelMS: 1_700_000_000_123, PendingAudit: pendingAudit},
			`{"cm":1700000000123,"e":[{"a":"node-a","l":3,"q":4,"e":"ZW50cnk=","t":"dGFn"}]}`,
		},
		{&leasedKey{}, `{"n":"","t":0,"b":0}`},
		{&leasedKey{Holder: "node-a", LeaseID: 5, FencingToken: 6}, `{"n":"node-a","t":5,"b":6}`},
	} {
		raw, err := json.Marshal(tc.value)
		if err != nil || string(raw) != tc.want {
			t.Errorf("%+v is encoded as %s, want %s (%v)", tc.value, raw, tc.want, err)
		}
		decoded := reflect.New(reflect.TypeOf(tc.value).Elem()).Interface()
		if err := json.Unmarshal([]byte(tc.want), decoded); err != nil || !reflect.DeepEqual(decoded, tc.value) {
			t.Errorf("%s is decoded as %+v, want %+v (%v)", tc.want, decoded, tc.value, err)
		}
	}
	if raw := (cancelMarker{CancelMS: 7}).encode(); string(raw) != `{"cm":7}` {
		t.Errorf("a cancel marker is encoded as %s", raw)
	}
	lease := controllerLease{environment: &environment{cfg: Config{Name: "node-a"}}, id: 5}
	if raw := lease.leasedValue(6); string(raw) != `{"n":"node-a","t":5,"b":6}` {
		t.Errorf("a leased key is encoded as %s", raw)
	}
}

// TestStoredKeysAreStable guards the store keys and the schema versions of this package, which all versions of the
// controller share.
func TestStoredKeysAreStable(t *testing.T) {
	got := []string{
		Root,
		keyRegistration,
		keyLeader,
		keyShard,
		shardKey(7),
		keyFencingToken,
		keyJob,
		keyTeam,
		keyMachineTypes,
		keySchemaVersion,
		keyActiveSchema,
		keyMemberList,
		keyCancel,
		keySlot,
		slotKey(7),
		keyPermissions,
		keyRoles,
		keyIdentity,
		keyPriorityClasses,
		keyHistory,
		KeyRestored,
	}
	want := "dl/ dl/node/ dl/leader dl/shard/ dl/shard/07 dl/epoch dl/job/ dl/team/ dl/types dl/form/ " +
		"dl/active-form dl/members/ dl/cancel/ dl/over/ dl/over/07 dl/access/ dl/access/roles dl/access/who/ " +
		"dl/lanes dl/history dl/restored"
	if s := strings.Join(got, " "); s != want {
		t.Errorf("the keys are %s, want %s", s, want)
	}
	versions := []int{
		schemaInitial,
		schemaDependencies,
		schemaArchive,
		schemaPermissions,
		schemaAudit,
		schemaSharedValues,
		schemaReservations,
		schemaPriorityClasses,
		schemaCancelQuorum,
		SchemaVersion,
	}
	if !reflect.DeepEqual(versions, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 8}) {
		t.Errorf("the schema versions are %v", versions)
	}
}

// TestDeclarationsAndMarkersStayReadable guards the encoding of values that every version of the controller must be
// able to read: the declared schema version, the restore marker and the fencing token.
func TestDeclarationsAndMarkersStayReadable(t *testing.T) {
	c := New(testConfig(), 0, 1)
	if err := c.applySchemaVersion("dl/form/node-b", json.RawMessage("8"), 3); err != nil ||
		c.schema.declared["node-b"] != 8 {
		t.Errorf("a declared schema version is decoded as %v (%v)", c.schema.declared, err)
	}
	c.applyPut("dl/active-form", json.RawMessage("8"), 3)
	if c.schema.active != 8 || c.schema.stored != 8 {
		t.Errorf("the active schema version is decoded as %d and stored as %d", c.schema.active, c.schema.stored)
	}
	c.applyPut("dl/members/n1", json.RawMessage(`["n0","n1"]`), 3)
	if list := c.memberLists.lists["n1"]; !reflect.DeepEqual(list, []string{"n0", "n1"}) {
		t.Errorf("a list of controllers is decoded as %v", list)
	}
	if err := c.restoreMarker.apply(json.RawMessage(`"what"`), 3); err != nil ||
		c.restoreMarker.description != "what" {
		t.Errorf("a restore marker is decoded as %q (%v)", c.restoreMarker.description, err)
	}
	c.applyPut("dl/epoch", json.RawMessage("17"), 4)
	if c.leadership.fencingToken != 17 {
		t.Errorf("the fencing token is decoded as %d", c.leadership.fencingToken)
	}
}
