package sim

import (
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"dewlift/core"
)

var (
	updateDigests   = flag.Bool("update", false, "rewrite the digests, after an intended change of behaviour")
	digestSeedCount = flag.Int(
		"digest-seeds",
		0,
		"number of seeds to run of every scenario for -digest-file; 0 writes no file",
	)
	digestFile = flag.String("digest-file", "digests.json", "file for the digests of -digest-seeds")
)

const digestDuration = 240 * time.Second

// digestScenarios returns simulations of every kind.
func digestScenarios() map[string]Options {
	out := map[string]Options{
		"quiet": {Seed: 1, Duration: digestDuration, Jobs: 25, NoFaults: true},
		"large": {
			Seed:           2,
			Duration:       60 * time.Second,
			Jobs:           60,
			Controllers:    5,
			MaxMachines:    300,
			MaxTasksPerJob: 400,
		},
		"chains":  {Seed: 3, Duration: digestDuration, Jobs: 5, Pipelines: 12},
		"upgrade": {Seed: 4, Duration: digestDuration, Jobs: 20, RollingUpgrade: true, Pipelines: 8},
		"history": {Seed: 6, Duration: digestDuration, Jobs: 40, MaxTasksPerJob: 4, Pipelines: 4, Archive: true},
		"rights":  {Seed: 7, Duration: digestDuration, Jobs: 40, MaxTasksPerJob: 4, Pipelines: 2, Permissions: true},
		"audit": {
			Seed:           8,
			Duration:       digestDuration,
			Jobs:           40,
			MaxTasksPerJob: 4,
			Pipelines:      2,
			Permissions:    true,
			AuditLog:       true,
			Archive:        true,
		},
	}
	for seed := uint64(10); seed < 16; seed++ {
		out[fmt.Sprint("rough", seed)] = Options{
			Seed:       seed,
			Duration:   digestDuration,
			Jobs:       25,
			FlakyCloud: seed%3 == 0,
		}
	}
	return out
}

// outputKind returns the number of an output's type. It does not depend on the name of the type.
func outputKind(out core.Output) (kind byte, ok bool) {
	switch out.(type) {
	case core.Response:
		return 1, true
	case core.CommitTxn:
		return 2, true
	case core.Watch:
		return 3, true
	case core.LoadSnapshot:
		return 4, true
	case core.ReadRange:
		return 5, true
	case core.LeaseRequest:
		return 6, true
	case core.SendCommands:
		return 7, true
	case core.PollAgent:
		return 8, true
	case core.CloudRequest:
		return 9, true
	case core.SendToPeer:
		return 10, true
	case core.ReservationsEnabled:
		return 11, true
	case core.QueueEnabled:
		return 12, true
	case core.ReplicaLoaded:
		return 13, true
	}
	return 0, false
}

// digester hashes the values of outputs, in the order of the fields of their types, so that Go names have no influence.
type digester struct {
	hash *xxhash.Digest
	buf  []byte
}

func newDigester() *digester { return &digester{hash: xxhash.New()} }

// add hashes the next output. It skips log lines, which may be reworded, and permissions, which are passed by a
// pointer.
func (d *digester) add(now time.Duration, node string, out core.Output) error {
	switch out.(type) {
	case core.LogLine, core.PermissionsChanged:
		return nil
	}
	kind, ok := outputKind(out)
	if !ok {
		return fmt.Errorf("unknown type of output: %T", out)
	}
	d.buf = binary.BigEndian.AppendUint64(d.buf[:0], uint64(now))
	d.text(node)
	d.buf = append(d.buf, kind)
	if err := d.value(reflect.ValueOf(out)); err != nil {
		return fmt.Errorf("%T: %w", out, err)
	}
	_, _ = d.hash.Write(d.buf) // never fails
	return nil
}

func (d *digester) sum() uint64 { return d.hash.Sum64() }

func (d *digester) number(n uint64) { d.buf = binary.BigEndian.AppendUint64(d.buf, n) }

func (d *digester) text(s string) {
	d.number(uint64(len(s)))
	d.buf = append(d.buf, s...)
}

// value writes a value with its kind, its length and its contents.
func (d *digester) value(v reflect.Value) error {
	d.buf = append(d.buf, byte(v.Kind()))
	if v.IsValid() && v.Type().Implements(reflect.TypeFor[json.Marshaler]()) && v.Kind() != reflect.Pointer &&
		v.Kind() != reflect.Slice {
		raw, err := v.Interface().(json.Marshaler).MarshalJSON()
		d.text(string(raw))
		return err
	}
	switch v.Kind() {
	case reflect.Invalid: // a nil interface
	case reflect.Bool:
		d.buf = append(d.buf, map[bool]byte{true: 1}[v.Bool()])
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		d.number(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		d.number(v.Uint())
	case reflect.Float32, reflect.Float64:
		d.number(math.Float64bits(v.Float()))
	case reflect.String:
		d.text(v.String())
	case reflect.Pointer, reflect.Interface:
		d.buf = append(d.buf, map[bool]byte{true: 1}[v.IsNil()])
		if !v.IsNil() {
			return d.value(v.Elem())
		}
	case reflect.Slice, reflect.Array:
		d.number(uint64(v.Len()))
		for i := range v.Len() {
			if err := d.value(v.Index(i)); err != nil {
				return err
			}
		}
	case reflect.Struct:
		return d.fields(v)
	case reflect.Map:
		return d.entries(v)
	default:
		return fmt.Errorf("unsupported kind %v", v.Kind())
	}
	return nil
}

// fields writes the exported fields in their order; no output depends on the others.
func (d *digester) fields(v reflect.Value) error {
	for i := range v.NumField() {
		if f := v.Type().Field(i); !f.IsExported() && !f.Anonymous {
			continue
		}
		if err := d.value(v.Field(i)); err != nil {
			return fmt.Errorf("field %d: %w", i, err)
		}
	}
	return nil
}

// entries writes a map in the order of its encoded keys.
func (d *digester) entries(v reflect.Value) error {
	d.number(uint64(v.Len()))
	list := make([]string, 0, v.Len())
	for it := v.MapRange(); it.Next(); {
		entry := digester{}
		if err := entry.value(it.Key()); err != nil {
			return err
		}
		if err := entry.value(it.Value()); err != nil {
			return err
		}
		list = append(list, string(entry.buf))
	}
	slices.Sort(list)
	for _, e := range list {
		d.text(e)
	}
	return nil
}

// outputDigest returns the digest of all outputs of the controllers of a simulation, in order.
func outputDigest(t *testing.T, options Options) string {
	t.Helper()
	sim := New(options)
	d := newDigester()
	sim.OnOutput = func(node string, out core.Output) {
		if err := d.add(sim.now, node, out); err != nil {
			t.Fatal(err)
		}
	}
	sim.Run()
	if len(sim.Checker.Violations) > 0 {
		t.Errorf("%v", sim.Checker.Violations)
	}
	return fmt.Sprintf("%016x %d starts", d.sum(), sim.Checker.Starts)
}

// A change that must not affect the behaviour of controllers must not change any output of these simulations. After an
// intended change of behaviour, regenerate the digests with go test ./internal/sim -run Digest -update
func TestOutputDigestsAreUnchanged(t *testing.T) {
	const file = "testdata/digests.json"
	want := map[string]string{}
	if *updateDigests {
		t.Cleanup(func() { writeDigests(t, file, want) })
	} else if raw, err := os.ReadFile(file); err != nil || json.Unmarshal(raw, &want) != nil {
		t.Fatalf("%s: %v", file, err)
	}
	var mu sync.Mutex
	for name, options := range digestScenarios() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := outputDigest(t, options)
			mu.Lock()
			defer mu.Unlock()
			if *updateDigests {
				want[name] = got
			} else if got != want[name] {
				t.Errorf("digest is %s, was %s", got, want[name])
			}
		})
	}
}

func writeDigests(t *testing.T, file string, digests map[string]string) {
	t.Helper()
	raw, err := json.MarshalIndent(digests, "", "  ")
	if err == nil {
		err = os.WriteFile(file, append(raw, '\n'), 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// scenariosForSeed returns a simulation of every kind for a seed; some options vary from seed to seed.
func scenariosForSeed(seed uint64) map[string]Options { //nolint:funlen // a table
	odd, third, tenth := seed%2 == 1, seed%3 == 0, seed%10 == 0
	return map[string]Options{
		"rough": {Seed: seed, Duration: digestDuration, Jobs: 25, FlakyCloud: third},
		"quiet": {Seed: seed, Duration: digestDuration, Jobs: 25, NoFaults: true},
		"large": {
			Seed:           seed,
			Duration:       30 * time.Second,
			Jobs:           40,
			Controllers:    5,
			MaxMachines:    200,
			MaxTasksPerJob: 300,
		},
		"chains":  {Seed: seed, Duration: digestDuration, Jobs: 5, Pipelines: 12, NoFaults: tenth},
		"upgrade": {Seed: seed, Duration: digestDuration, Jobs: 20, RollingUpgrade: true, Pipelines: 8},
		"history": {
			Seed:           seed,
			Duration:       digestDuration,
			Jobs:           40,
			MaxTasksPerJob: 4,
			Pipelines:      4,
			Archive:        true,
			RollingUpgrade: third,
		},
		"rights": {
			Seed:           seed,
			Duration:       digestDuration,
			Jobs:           40,
			MaxTasksPerJob: 4,
			Pipelines:      2,
			Permissions:    true,
			Archive:        odd,
		},
		"audit": {
			Seed:           seed,
			Duration:       digestDuration,
			Jobs:           40,
			MaxTasksPerJob: 4,
			Pipelines:      2,
			Permissions:    true,
			AuditLog:       true,
			Archive:        odd,
		},
		"shared": {
			Seed:           seed,
			Duration:       digestDuration,
			Jobs:           40,
			BatchValues:    true,
			NoFaults:       tenth,
			RollingUpgrade: third,
			Archive:        odd,
		},
		"lanes": {Seed: seed, Duration: 120 * time.Second, Jobs: 80, MaxMachines: 8, PriorityClasses: true},
		"bookings": {
			Seed:             seed,
			Duration:         180 * time.Second,
			Jobs:             8,
			MaxTasksPerJob:   4,
			ReservationUsers: 40,
			Permissions:      odd,
			AuditLog:         odd,
		},
		"mistakes": {Seed: seed, Duration: digestDuration, Jobs: 30, FailingJobs: 10, NoFaults: odd},
		"meet": {
			Seed:              seed,
			Duration:          digestDuration,
			Jobs:              25,
			OverlappingFaults: true,
			LongTasks:         odd,
			QuotaLimited:      third,
		},
		"flap": {
			Seed:              seed,
			Duration:          digestDuration,
			Jobs:              30,
			MaxTasksPerJob:    6,
			FlappingProcesses: true,
			BatchValues:       third,
		},
		"beside": {
			Seed:           seed,
			Duration:       digestDuration,
			Jobs:           20,
			MixedVersions:  true,
			SingleTaskJobs: 10,
			ZonePinnedJobs: odd,
		},
	}
}

// With -digest-seeds, the digests of many simulations are written to a file. Two versions that behave alike write equal
// files.
func TestWriteDigestsForSeeds(t *testing.T) {
	if *digestSeedCount == 0 {
		t.Skip("needs -digest-seeds")
	}
	var mu sync.Mutex
	digests := map[string]string{}
	t.Cleanup(func() { writeDigests(t, *digestFile, digests) })
	for seed := range uint64(*digestSeedCount) {
		for name, options := range scenariosForSeed(seed + 1000) {
			name = fmt.Sprint(name, " ", seed)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				got := outputDigest(t, options)
				mu.Lock()
				defer mu.Unlock()
				digests[name] = got
			})
		}
	}
}

// The digest must depend on every output, and on the number and order of the outputs.
func TestDigestDistinguishesOutputs(t *testing.T) {
	type entry struct {
		now  time.Duration
		node string
		out  core.Output
	}
	list := []entry{
		{1, "n0", core.LoadSnapshot{AfterKey: "a"}},
		{1, "n0", core.Watch{SinceRevision: 7, LongPoll: true}},
		{
			2,
			"n1",
			core.SendToPeer{
				Peer:    "n2",
				Message: core.Message{StatePush: &core.StatePush{DeltaAcks: map[string]uint64{"n0": 1, "n1": 2}}},
			},
		},
		{2, "n1", core.CloudRequest{ID: 3, MachineNames: []string{"x", "y"}}},
	}
	sum := func(list []entry) uint64 {
		d := newDigester()
		for _, e := range list {
			if err := d.add(e.now, e.node, e.out); err != nil {
				t.Fatal(err)
			}
		}
		return d.sum()
	}
	with := func(i int, e entry) []entry {
		out := slices.Clone(list)
		out[i] = e
		return out
	}
	want := sum(list)
	for name, other := range map[string][]entry{
		"left out":     list[1:],
		"swapped":      {list[1], list[0], list[2], list[3]},
		"said twice":   {list[0], list[0], list[1], list[2], list[3]},
		"later":        with(0, entry{2, "n0", list[0].out}),
		"another node": with(0, entry{1, "n1", list[0].out}),
		"another kind": with(0, entry{1, "n0", core.SendToPeer{Peer: "a"}}),
		"a value":      with(1, entry{1, "n0", core.Watch{SinceRevision: 8, LongPoll: true}}),
		"a flag":       with(1, entry{1, "n0", core.Watch{SinceRevision: 7}}),
		"in a map": with(2, entry{
			2,
			"n1",
			core.SendToPeer{
				Peer:    "n2",
				Message: core.Message{StatePush: &core.StatePush{DeltaAcks: map[string]uint64{"n0": 1, "n1": 3}}},
			},
		}),
		"a part unset":   with(2, entry{2, "n1", core.SendToPeer{Peer: "n2", Message: core.Message{}}}),
		"split in two":   with(3, entry{2, "n1", core.CloudRequest{ID: 3, MachineNames: []string{"xy"}}}),
		"another member": with(3, entry{2, "n1", core.CloudRequest{ID: 3, MachineNames: []string{"x", "z"}}}),
	} {
		if sum(other) == want {
			t.Errorf("%s: the digest does not change", name)
		}
	}
	if again := sum(list); again != want {
		t.Errorf("the same outputs have digest %x, and then %x", want, again)
	}
}

// The digest must depend on every value of every type of output.
func TestDigestCoversEveryValue(t *testing.T) {
	for _, out := range []core.Output{
		core.Response{},
		core.CommitTxn{},
		core.Watch{},
		core.LoadSnapshot{},
		core.ReadRange{},
		core.LeaseRequest{},
		core.SendCommands{},
		core.PollAgent{},
		core.CloudRequest{},
		core.SendToPeer{},
		core.ReservationsEnabled{},
		core.QueueEnabled{},
	} {
		sum := func(out core.Output) uint64 {
			d := newDigester()
			if err := d.add(0, "n0", out); err != nil {
				t.Fatal(err)
			}
			return d.sum()
		}
		plain, seen := sum(out), map[uint64]string{}
		for i := range reflect.TypeOf(out).NumField() {
			v := reflect.New(reflect.TypeOf(out)).Elem()
			changed := changeValues(v.Field(i), func(path string) {
				s := sum(v.Interface().(core.Output))
				path = fmt.Sprintf("%T field %d%s", out, i, path)
				if other, twice := seen[s]; twice || s == plain {
					t.Errorf("%s: no influence on the digest, or the same as %q", path, other)
				}
				seen[s] = path
			}, "", 0)
			if !changed {
				t.Errorf("%T field %d: no value of it was changed", out, i)
			}
		}
	}
}

// changeValues sets each value below v in turn, calls onChange, and restores it. It reports whether there was any.
func changeValues(v reflect.Value, onChange func(path string), path string, depth int) bool {
	was := reflect.New(v.Type()).Elem()
	was.Set(v)
	defer v.Set(was)
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1)
	case reflect.String:
		v.SetString("x")
	case reflect.Interface:
		v.Set(reflect.ValueOf("x"))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		onChange(path + " set")
		return depth > 6 || changeValues(v.Elem(), onChange, path, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		onChange(path + " of one")
		return depth > 6 || changeValues(v.Index(0), onChange, path+"[0]", depth+1)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.Zero(v.Type().Key()), reflect.Zero(v.Type().Elem()))
	case reflect.Array:
		return changeValues(v.Index(v.Len()-1), onChange, path+"[]", depth+1)
	case reflect.Struct:
		changed := false
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if f.IsExported() && !strings.HasPrefix(f.Tag.Get("json"), "-") {
				changed = changeValues(v.Field(i), onChange, fmt.Sprintf("%s.%d", path, i), depth+1) || changed
			}
		}
		return changed
	default:
		return false
	}
	onChange(path)
	return true
}
