package auditlog

import (
	"dewlift/audit"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

// What a carrier is stored as, and its key: the same bytes are written, and those of before are read.
func TestStoredBytesStay(t *testing.T) {
	v := carrierValue{
		[]audit.PendingEntry{
			{Node: "node-a", Incarnation: 3, Sequence: 4, Entry: []byte("entry"), MAC: []byte("tag")},
		},
	}
	const want = `{"e":[{"a":"node-a","l":3,"q":4,"e":"ZW50cnk=","t":"dGFn"}]}`
	raw, err := json.Marshal(v)
	if err != nil || string(raw) != want {
		t.Errorf("it is written as %s, was %s (%v)", raw, want, err)
	}
	var read carrierValue
	if err := json.Unmarshal([]byte(want), &read); err != nil || !reflect.DeepEqual(read, v) {
		t.Errorf("it is read as %+v (%v)", read, err)
	}
	keys := strings.Join([]string{Prefix, KeyInitialized, HeadPrefix, carrierPrefix, settingsPrefix}, " ")
	if keys != "dl/audit/ dl/audit/begun dl/audit/head/ dl/audit/of/ dl/audit/settings/" {
		t.Errorf("keys are %s", keys)
	}
	if acts := strings.Join([]string{
		VerbTakeOver,
		VerbStart,
		VerbStop,
		VerbRestore,
		VerbForged,
	}, " "); acts != "take start stop restore forged" {
		t.Errorf("acts are %s", acts)
	}
}
