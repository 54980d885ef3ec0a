package auditlog

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"dewlift/audit"
)

// The stored form of an outbox and all keys must not change, so that controllers of other versions can read them.
func TestStoredFormatIsStable(t *testing.T) {
	value := outboxValue{
		[]audit.PendingEntry{
			{Node: "node-a", Incarnation: 3, Sequence: 4, Entry: []byte("entry"), MAC: []byte("tag")},
		},
	}
	const want = `{"e":[{"a":"node-a","l":3,"q":4,"e":"ZW50cnk=","t":"dGFn"}]}`
	raw, err := json.Marshal(value)
	if err != nil || string(raw) != want {
		t.Errorf("encoded as %s, want %s (%v)", raw, want, err)
	}
	var read outboxValue
	if err := json.Unmarshal([]byte(want), &read); err != nil || !reflect.DeepEqual(read, value) {
		t.Errorf("decoded as %+v (%v)", read, err)
	}
	keys := strings.Join([]string{Prefix, KeyInitialized, HeadPrefix, outboxPrefix, settingsPrefix}, " ")
	if keys != "dl/audit/ dl/audit/begun dl/audit/head/ dl/audit/of/ dl/audit/settings/" {
		t.Errorf("keys are %s", keys)
	}
	verbs := strings.Join([]string{VerbTakeOver, VerbStart, VerbStop, VerbRestore, VerbForged}, " ")
	if verbs != "take start stop restore forged" {
		t.Errorf("verbs are %s", verbs)
	}
}
