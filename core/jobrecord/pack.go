package jobrecord

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"

	"dewlift/internal/compress"
	"dewlift/wire"
)

// A packed record stores its lists column by column as differences between neighbours, which are mostly the
// same small numbers, and compresses them: a job of 500 tasks on 500 machines takes about a kilobyte. Records
// that fit in a value without packing remain readable JSON.

// errMalformedLists is the error of packed lists that are truncated or inconsistent.
var errMalformedLists = errors.New("malformed packed lists")

// maxDecompressedBytes bounds the size of a packed value after decompression, so that a corrupt value can't
// exhaust memory.
const maxDecompressedBytes = 4 << 20

// packLists moves the record's lists into PackedLists. The record's Spec is copied, not modified.
func (r *Record) packLists() error {
	var packer listPacker
	packer.putCount(len(r.Assignments))
	for i := range r.Assignments {
		packer.putGroup(&r.Assignments[i])
	}
	packer.putTaskSet(r.CompletedTasks)
	r.Assignments, r.CompletedTasks = nil, nil
	if r.Spec != nil {
		packer.putNames(r.Spec.Dependencies)
		spec := *r.Spec
		spec.Dependencies = nil
		r.Spec = &spec
	}
	var err error
	r.PackedLists, err = compress.Deflate(packer.buf)
	if err != nil {
		return fmt.Errorf("pack lists: %w", err)
	}
	return nil
}

// unpackLists is the reverse of packLists.
func (r *Record) unpackLists() error {
	raw, err := compress.Inflate(r.PackedLists, maxDecompressedBytes)
	if err != nil {
		return fmt.Errorf("unpack lists: %w", err)
	}
	unpacker := listUnpacker{remaining: raw}
	groups := unpacker.readCount()
	for i := 0; i < groups && !unpacker.malformed; i++ {
		r.Assignments = append(r.Assignments, unpacker.readGroup())
	}
	r.CompletedTasks = unpacker.readTaskSet()
	if r.Spec != nil {
		r.Spec.Dependencies = unpacker.readNames()
	}
	if unpacker.malformed || len(unpacker.remaining) > 0 {
		return errMalformedLists
	}
	r.PackedLists = nil
	return nil
}

// listPacker appends lists to a buffer as variable-length integers.
type listPacker struct{ buf []byte }

func (p *listPacker) putUint(v uint64)   { p.buf = binary.AppendUvarint(p.buf, v) }
func (p *listPacker) putCount(v int)     { p.putUint(uint64(v)) }
func (p *listPacker) putString(s string) { p.putCount(len(s)); p.buf = append(p.buf, s...) }

// putDelta appends the difference between two numbers, which may wrap around.
func (p *listPacker) putDelta(v, from uint64) { p.buf = binary.AppendVarint(p.buf, int64(v-from)) }

// putNames appends, for each name, the length of the prefix shared with the previous name, and the rest of
// the name.
func (p *listPacker) putNames(names []string) {
	p.putCount(len(names))
	last := ""
	for _, name := range names {
		shared := 0
		for shared < min(len(name), len(last)) && name[shared] == last[shared] {
			shared++
		}
		p.putCount(shared)
		p.putString(name[shared:])
		last = name
	}
}

// maxDecimalWidth is the largest number of decimal digits for which every number and every signed difference
// fits in 64 bits.
const maxDecimalWidth = 18

// decimalWidth returns the length of the names if all of them are decimal numbers of the same length, and 0
// otherwise.
func decimalWidth(names []string) int {
	for _, name := range names {
		if name == "" || len(name) > maxDecimalWidth || len(name) != len(names[0]) {
			return 0
		}
		for i := range len(name) {
			if name[i] < '0' || name[i] > '9' {
				return 0
			}
		}
	}
	return len(names[0])
}

func (p *listPacker) putGroup(group *AssignmentGroup) {
	p.putString(group.Zone)
	p.putUint(group.Incarnation)
	p.putString(group.NamePrefix)
	p.putNameSuffixes(group.NameSuffixes)
	for _, runs := range group.RunsPerMachine {
		p.putCount(runs)
	}
	p.putTaskRuns(group.TaskRuns)
}

// putNameSuffixes appends the decimal width of the names followed by their differences, or width 0 followed
// by the names themselves.
func (p *listPacker) putNameSuffixes(suffixes []string) {
	width := decimalWidth(suffixes)
	p.putCount(width)
	if width == 0 {
		p.putNames(suffixes)
		return
	}
	p.putCount(len(suffixes))
	last := uint64(0)
	for _, suffix := range suffixes {
		v, err := strconv.ParseUint(suffix, 10, 64)
		if err != nil {
			panic(err) // impossible: decimalWidth accepts only numbers that fit in 64 bits
		}
		p.putDelta(v, last)
		last = v
	}
}

// putTaskRuns appends the lengths of all runs, then the first tasks, and then the first attempts. The latter
// two are differences from the end of the previous run.
func (p *listPacker) putTaskRuns(runs []uint64) {
	for i := 2; i < len(runs); i += runFields {
		p.putUint(runs[i])
	}
	for column := range 2 {
		last := uint64(0)
		for i := 0; i < len(runs); i += runFields {
			p.putDelta(runs[i+column], last)
			last = runs[i+column] + runs[i+2]
		}
	}
}

func (p *listPacker) putTaskSet(set TaskSet) {
	p.putCount(len(set))
	last := uint64(0)
	for _, v := range set {
		p.putDelta(uint64(v), last)
		last = uint64(v)
	}
}

// listUnpacker reads what a listPacker wrote. malformed is set at the first inconsistency; from then on the
// returned values are meaningless, and readers stop.
type listUnpacker struct {
	remaining []byte
	malformed bool
}

func (u *listUnpacker) readUint() uint64 {
	v, n := binary.Uvarint(u.remaining)
	if n <= 0 {
		u.malformed, u.remaining = true, nil
		return 0
	}
	u.remaining = u.remaining[n:]
	return v
}

// readCount reads the number of items that follow, or another small number. The value is bounded, so that a
// corrupt count can't make a reader allocate without limit.
func (u *listUnpacker) readCount() int {
	v := u.readUint()
	if v > wire.MaxTasksPerJob {
		u.malformed, u.remaining = true, nil
		return 0
	}
	return int(v)
}

func (u *listUnpacker) readDelta(from uint64) uint64 {
	v, n := binary.Varint(u.remaining)
	if n <= 0 {
		u.malformed, u.remaining = true, nil
		return 0
	}
	u.remaining = u.remaining[n:]
	return from + uint64(v)
}

func (u *listUnpacker) readString() string {
	n := u.readCount()
	if n > len(u.remaining) {
		u.malformed, u.remaining = true, nil
		return ""
	}
	s := string(u.remaining[:n])
	u.remaining = u.remaining[n:]
	return s
}

func (u *listUnpacker) readNames() []string {
	var out []string
	last := ""
	for n := u.readCount(); n > 0 && !u.malformed; n-- {
		shared := u.readCount()
		if shared > len(last) {
			u.malformed = true
			return nil
		}
		last = last[:shared] + u.readString()
		out = append(out, last)
	}
	return out
}

func (u *listUnpacker) readGroup() AssignmentGroup {
	group := AssignmentGroup{Zone: u.readString(), Incarnation: u.readUint(), NamePrefix: u.readString()}
	group.NameSuffixes = u.readNameSuffixes()
	runs := 0
	for range group.NameSuffixes {
		n := u.readCount()
		group.RunsPerMachine = append(group.RunsPerMachine, n)
		runs += n
	}
	if u.malformed || runFields*runs > len(u.remaining) { // each number takes at least one byte
		u.malformed = true
		return group
	}
	group.TaskRuns = u.readTaskRuns(runs)
	return group
}

// readNameSuffixes is the reverse of putNameSuffixes.
func (u *listUnpacker) readNameSuffixes() []string {
	width := u.readCount()
	if width == 0 {
		return u.readNames()
	}
	var out []string
	last := uint64(0)
	for n := u.readCount(); n > 0 && !u.malformed; n-- {
		last = u.readDelta(last)
		out = append(out, fmt.Sprintf("%0*d", min(width, maxDecimalWidth), last))
	}
	return out
}

// readTaskRuns is the reverse of putTaskRuns.
func (u *listUnpacker) readTaskRuns(count int) []uint64 {
	runs := make([]uint64, runFields*count)
	for i := 2; i < len(runs); i += runFields {
		runs[i] = u.readUint()
	}
	for column := range 2 {
		last := uint64(0)
		for i := 0; i < len(runs); i += runFields {
			runs[i+column] = u.readDelta(last)
			last = runs[i+column] + runs[i+2]
		}
	}
	return runs
}

func (u *listUnpacker) readTaskSet() TaskSet {
	var out TaskSet
	last := uint64(0)
	for n := u.readCount(); n > 0 && !u.malformed; n-- {
		last = u.readDelta(last)
		if last > wire.MaxTasksPerJob {
			u.malformed = true
			return nil
		}
		out = append(out, int(last))
	}
	return out
}
