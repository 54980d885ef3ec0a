package core

import (
	"dewlift/audit"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

// What is stored in types of this package: the same bytes are written, and those of before are
// read. (All else: internal/golden.)
func TestStoredBytesStay(t *testing.T) {
	carried := []audit.PendingEntry{
		{Node: "node-a", Incarnation: 3, Sequence: 4, Entry: []byte("entry"), MAC: []byte("tag")},
	}
	for _, x := range []struct {
		v    any
		want string
	}{
		{&cancelMarker{CancelMS: 1_700_000_000_123}, `{"cm":1700000000123}`},
		{
			&cancelMarker{CancelMS: 1_700_000_000_123, Carried: carried},
			`{"cm":1700000000123,"e":[{"a":"node-a","l":3,"q":4,"e":"ZW50cnk=","t":"dGFn"}]}`,
		},
		{&leasedKey{}, `{"n":"","t":0,"b":0}`},
		{&leasedKey{Node: "node-a", LeaseID: 5, FencingToken: 6}, `{"n":"node-a","t":5,"b":6}`},
	} {
		raw, err := json.Marshal(x.v)
		if err != nil || string(raw) != x.want {
			t.Errorf("%+v is written as %s, was %s (%v)", x.v, raw, x.want, err)
		}
		read := reflect.New(reflect.TypeOf(x.v).Elem()).Interface()
		if err := json.Unmarshal([]byte(x.want), read); err != nil || !reflect.DeepEqual(read, x.v) {
			t.Errorf("%s is read as %+v (%v)", x.want, read, err)
		}
	}
	if raw := (cancelMarker{CancelMS: 7}).encode(); string(raw) != `{"cm":7}` {
		t.Errorf("a mark of cancellation is %s", raw)
	}
	c := &Core{cfg: Config{Name: "node-a"}, ownLease: controllerLease{id: 5}}
	if raw := c.leasedValue(6); string(raw) != `{"n":"node-a","t":5,"b":6}` {
		t.Errorf("a leased key is %s", raw)
	}
}

// The keys of the state service that this package has, and the numbers of the forms.
func TestStoredKeysStay(t *testing.T) {
	got := []string{
		Root,
		keyNode,
		keyLeader,
		keyShard,
		shardKey(7),
		keyFencingToken,
		keyJob,
		keyTeam,
		keyMachineTypes,
		keySchemaVersion,
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
	want := "dl/ dl/node/ dl/leader dl/shard/ dl/shard/07 dl/epoch dl/job/ dl/team/ dl/types dl/form/ dl/cancel/ dl/over/ dl/over/07 dl/access/ dl/access/roles " +
		"dl/access/who/ dl/lanes dl/history dl/restored"
	if s := strings.Join(got, " "); s != want {
		t.Errorf("keys are %s, were %s", s, want)
	}
	forms := []int{
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
	if !reflect.DeepEqual(forms, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 8}) {
		t.Errorf("forms are %v", forms)
	}
}

// What a controller declares: a number, as every version reads it.
func TestDeclarationStays(t *testing.T) {
	c := New(testConfig(), 0, 1)
	if err := c.applySchemaVersion("dl/form/node-b", json.RawMessage("8"), 3); err != nil ||
		c.schema.declared["node-b"] != 8 {
		t.Errorf("a declaration is read as %v (%v)", c.schema.declared, err)
	}
	if err := c.restoreMarker.apply(json.RawMessage(`"what"`), 3); err != nil ||
		c.restoreMarker.description != "what" {
		t.Errorf("a restored state is read as %q (%v)", c.restoreMarker.description, err)
	}
	c.applyPut("dl/epoch", json.RawMessage("17"), 4)
	if c.leadership.fencingToken != 17 {
		t.Errorf("the token is read as %d", c.leadership.fencingToken)
	}
}
