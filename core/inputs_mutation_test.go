package core

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"testing"

	"dewlift/core/auditlog"
	"dewlift/core/reservations"
)

// oddValues replace single values of an input.
var oddValues = []any{
	nil, true, "", "a", "\x00", "wk-1", "wk-1/0", "m-1", "x", "0000-01-01T00:00", strings.Repeat("é", 5000),
	json.Number("0"), json.Number("-1"), json.Number("1e308"), json.Number("-1e308"), json.Number("1e-308"),
	json.Number("99999"), json.Number("-99999"), json.Number("2147483648"), json.Number("4294967295"),
	json.Number("9223372036854775807"), json.Number("-9223372036854775808"), json.Number("18446744073709551615"),
	[]any{},
	map[string]any{},
}

// storedKeys are keys of each kind that the core stores.
var storedKeys = []string{
	keyFencingToken, keyLeader, keyRegistration + "n1", keyShard + "1", keyMachineTypes, keyTeam + "t", keyJob + "wk-1",
	keyJob + "wk-9", keySlot + "0", keySchemaVersion + "n1", keyRoles, keyIdentity + "anna", auditlog.HeadPrefix + "n0",
	KeyRestored, keyHistory, keyPriorityClasses, reservations.KeyHead, reservations.KeyInventory,
	reservations.Prefix + "page/0000000000000001", keyCancel + "wk-1", keyActiveSchema, keyMemberList + "n1",
}

// recordedSeeds returns the recorded forms of stored values, under every kind of key, and of messages.
func recordedSeeds(t *testing.T) (seeds []inputSeed) {
	t.Helper()
	const dir = "../internal/golden/testdata/"
	decode := func(name string, v any) {
		raw, err := os.ReadFile(dir + name)
		if err == nil {
			err = json.Unmarshal(raw, v)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	var values map[string]string
	decode("stored.json", &values)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		value := values[name]
		if !json.Valid([]byte(value)) {
			continue // a file
		}
		for _, key := range storedKeys {
			event := fmt.Sprintf(`{"put":%q,"mark":9,"data":%s}`, key, value)
			row := fmt.Sprintf(`{"k":%q,"mark":9,"data":%s}`, key, value)
			seeds = append(seeds,
				inputSeed{inputWatchEvents, `{"ledger":9,"log":[` + event + `]}`},
				inputSeed{inputSnapshot, `{"ledger":9,"rows":[` + row + `]}`},
				inputSeed{inputRange, "[" + row + "]"},
			)
		}
	}
	var messages map[string]struct{ Filled json.RawMessage }
	decode("mesh.json", &messages)
	seeds = append(seeds, inputSeed{inputPeerMessage, string(messages["message"].Filled)})
	return seeds
}

// mutate returns a JSON value in which about one of its parts is odd, missing or repeated.
func mutate(random *rand.Rand, value any) any {
	if random.IntN(8) == 0 {
		return oddValues[random.IntN(len(oddValues))]
	}
	switch value := value.(type) {
	case map[string]any:
		changed := maps.Clone(value)
		if len(changed) == 0 {
			return changed
		}
		keys := slices.Sorted(maps.Keys(changed))
		key := keys[random.IntN(len(keys))]
		changed[key] = mutate(random, changed[key])
		return changed
	case []any:
		changed := slices.Clone(value)
		if len(changed) == 0 {
			return changed
		}
		i := random.IntN(len(changed))
		switch random.IntN(4) {
		case 0:
			return slices.Delete(changed, i, i+1)
		case 1:
			return slices.Insert(changed, i, changed[i])
		}
		changed[i] = mutate(random, changed[i])
		return changed
	}
	return oddValues[random.IntN(len(oddValues))]
}

// mutateText returns a text in which one part is replaced by an odd value.
func mutateText(random *rand.Rand, text string) string {
	fields := strings.Fields(text)
	i := random.IntN(len(fields))
	raw, err := json.Marshal(oddValues[random.IntN(len(oddValues))])
	if err != nil {
		return text
	}
	fields[i] = string(raw)
	return strings.Join(fields, " ")
}

// mutateInput returns the raw form of an input that differs from a seed in a few places.
func mutateInput(random *rand.Rand, raw string) []byte {
	decoder := json.NewDecoder(strings.NewReader(raw))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil {
		return []byte(mutateText(random, raw))
	}
	for range 1 + random.IntN(3) {
		value = mutate(random, value)
	}
	changed, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return changed
}

// Inputs with odd values in any place must neither make the core panic nor keep it from its other work.
func TestMutatedInputs(t *testing.T) {
	const inputs = 3000
	random := rand.New(rand.NewPCG(46, 2))
	recorded := recordedSeeds(t)
	for range inputs {
		seeds := inputSeeds
		if random.IntN(2) == 0 {
			seeds = recorded
		}
		seed := seeds[random.IntN(len(seeds))]
		raw := mutateInput(random, seed.raw)
		in, ok := decodeInput(seed.kind, raw)
		if !ok {
			continue
		}
		played := t.Run("", func(t *testing.T) {
			defer func() {
				if reason := recover(); reason != nil {
					t.Errorf("kind %d, %s: panic: %v\n%s", seed.kind, raw, reason, debug.Stack())
				}
			}()
			playInput(t, newCoreForInputs(t, seed.kind), in)
		})
		if !played {
			t.Fatalf("kind %d: %s", seed.kind, raw)
		}
	}
}
