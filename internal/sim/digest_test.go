package sim

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"dewlift/core"
)

var update = flag.Bool("update", false, "write the digests anew: behaviour was changed on purpose")

// digestWorlds are worlds of every kind.
func digestWorlds() map[string]Options {
	long := 240 * time.Second
	out := map[string]Options{
		"quiet":   {Seed: 1, Length: long, Jobs: 25, Quiet: true},
		"large":   {Seed: 2, Length: 60 * time.Second, Jobs: 60, Nodes: 5, Fleet: 300, Tasks: 400},
		"chains":  {Seed: 3, Length: long, Jobs: 5, Chains: 12},
		"upgrade": {Seed: 4, Length: long, Jobs: 20, Upgrade: true, Chains: 8},
		"history": {Seed: 6, Length: long, Jobs: 40, Tasks: 4, Chains: 4, History: true},
		"rights":  {Seed: 7, Length: long, Jobs: 40, Tasks: 4, Chains: 2, Rights: true},
		"audit":   {Seed: 8, Length: long, Jobs: 40, Tasks: 4, Chains: 2, Rights: true, Audit: true, History: true},
	}
	for seed := uint64(10); seed < 16; seed++ {
		out[fmt.Sprint("rough", seed)] = Options{Seed: seed, Length: long, Jobs: 25, CloudBad: seed%3 == 0}
	}
	return out
}

// digestOf is that of all that the controllers of a world put out, in order.
func digestOf(t *testing.T, o Options) string {
	t.Helper()
	w := New(o)
	h := xxhash.New()
	w.Seen = func(node string, out core.Output) {
		switch out.(type) {
		case core.Note, core.Rights: // what is logged may change; rights are told by a pointer
			return
		}
		raw, err := json.Marshal(out)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(h, "%v %s %T ", w.now, node, out)
		_, _ = h.Write(raw) // never fails
	}
	w.Run()
	if len(w.Check.Broken) > 0 {
		t.Errorf("%v", w.Check.Broken)
	}
	return fmt.Sprintf("%016x %d starts", h.Sum64(), w.Check.Starts)
}

// A change that is meant to keep the behaviour of controllers keeps every output of these worlds. One that is meant to
// change it writes the digests anew: go test ./internal/sim -run Digest -update
func TestDigestOfOutputsIsKept(t *testing.T) {
	const file = "testdata/digests.json"
	want := map[string]string{}
	if *update {
		t.Cleanup(func() {
			raw, err := json.MarshalIndent(want, "", "  ")
			if err == nil {
				err = os.WriteFile(file, append(raw, '\n'), 0o644)
			}
			if err != nil {
				t.Fatal(err)
			}
		})
	} else if raw, err := os.ReadFile(file); err != nil || json.Unmarshal(raw, &want) != nil {
		t.Fatalf("%s: %v", file, err)
	}
	var mu sync.Mutex
	for name, o := range digestWorlds() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := digestOf(t, o)
			mu.Lock()
			defer mu.Unlock()
			if *update {
				want[name] = got
			} else if got != want[name] {
				t.Errorf("%s, was %s", got, want[name])
			}
		})
	}
}
