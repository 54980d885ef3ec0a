package jobrecord

import (
	"dewlift/internal/compress"
	"dewlift/wire"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
)

// A packed record holds its lists column by column as differences between neighbours, which
// are mostly the same small numbers, and compressed: a job of 500 tasks on as many machines takes
// about a kilobyte. Records that fit a value as they are stay readable.

var errMalformedLists = errors.New("packed lists do not fit together")

// maxUnpackedBytes bounds what a packed value may expand to.
const maxUnpackedBytes = 4 << 20

// packLists moves a record's lists into Packed.
func (r *Record) packLists() error {
	var p listPacker
	p.putCount(len(r.Assignments))
	for i := range r.Assignments {
		p.putGroup(&r.Assignments[i])
	}
	p.putTaskSet(r.CompletedTasks)
	r.Assignments, r.CompletedTasks = nil, nil
	if r.Spec != nil {
		p.putNames(r.Spec.Dependencies)
		s := *r.Spec
		s.Dependencies = nil
		r.Spec = &s
	}
	var err error
	r.PackedLists, err = compress.Deflate(p.buf)
	return err
}

// unpackLists is the reverse of packAll.
func (r *Record) unpackLists() error {
	raw, err := compress.Inflate(r.PackedLists, maxUnpackedBytes)
	if err != nil {
		return err
	}
	u := listUnpacker{remaining: raw}
	n := u.readCount()
	for i := 0; i < n && !u.malformed; i++ {
		r.Assignments = append(r.Assignments, u.readGroup())
	}
	r.CompletedTasks = u.readTaskSet()
	if r.Spec != nil {
		r.Spec.Dependencies = u.readNames()
	}
	if u.malformed || len(u.remaining) > 0 {
		return errMalformedLists
	}
	r.PackedLists = nil
	return nil
}

type listPacker struct{ buf []byte }

func (p *listPacker) putUint(v uint64)   { p.buf = binary.AppendUvarint(p.buf, v) }
func (p *listPacker) putCount(v int)     { p.putUint(uint64(v)) }
func (p *listPacker) putString(s string) { p.putCount(len(s)); p.buf = append(p.buf, s...) }

// putDelta writes a number as its difference from another, which wraps around.
func (p *listPacker) putDelta(v, from uint64) { p.buf = binary.AppendVarint(p.buf, int64(v-from)) }

// putNames writes what each name shares with the one before it, and the rest.
func (p *listPacker) putNames(list []string) {
	p.putCount(len(list))
	last := ""
	for _, s := range list {
		n := 0
		for n < min(len(s), len(last)) && s[n] == last[n] {
			n++
		}
		p.putCount(n)
		p.putString(s[n:])
		last = s
	}
}

// decimalWidth is the length of the names if all are decimal numbers of one length; else 0.
func decimalWidth(names []string) int {
	for _, s := range names {
		if s == "" || len(s) > 18 || len(s) != len(names[0]) {
			return 0
		}
		for i := range len(s) {
			if s[i] < '0' || s[i] > '9' {
				return 0
			}
		}
	}
	return len(names[0])
}

func (p *listPacker) putGroup(l *AssignmentGroup) {
	p.putString(l.Zone)
	p.putUint(l.Incarnation)
	p.putString(l.NamePrefix)
	width := decimalWidth(l.NameSuffixes)
	p.putCount(width)
	if width == 0 {
		p.putNames(l.NameSuffixes)
	} else {
		p.putCount(len(l.NameSuffixes))
		last := uint64(0)
		for _, s := range l.NameSuffixes {
			v, err := strconv.ParseUint(s, 10, 64)
			if err != nil {
				panic(err) // up to 18 digits
			}
			p.putDelta(v, last)
			last = v
		}
	}
	for _, n := range l.RunsPerMachine {
		p.putCount(n)
	}
	for i := 2; i < len(l.TaskRuns); i += 3 {
		p.putUint(l.TaskRuns[i])
	}
	for col := range 2 { // first tasks, then attempts, each from where the run before it ended
		last := uint64(0)
		for i := 0; i < len(l.TaskRuns); i += 3 {
			p.putDelta(l.TaskRuns[i+col], last)
			last = l.TaskRuns[i+col] + l.TaskRuns[i+2]
		}
	}
}

func (p *listPacker) putTaskSet(r TaskSet) {
	p.putCount(len(r))
	last := uint64(0)
	for _, v := range r {
		p.putDelta(uint64(v), last)
		last = uint64(v)
	}
}

// listUnpacker reads what a packer wrote; bad is set once it does not fit together.
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

// readCount is a number of things that follow, each a byte at least, or a small number.
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
		k := u.readCount()
		if k > len(last) {
			u.malformed = true
			return nil
		}
		last = last[:k] + u.readString()
		out = append(out, last)
	}
	return out
}

func (u *listUnpacker) readGroup() AssignmentGroup {
	l := AssignmentGroup{Zone: u.readString(), Incarnation: u.readUint(), NamePrefix: u.readString()}
	if width := u.readCount(); width == 0 {
		l.NameSuffixes = u.readNames()
	} else {
		last := uint64(0)
		for n := u.readCount(); n > 0 && !u.malformed; n-- {
			last = u.readDelta(last)
			l.NameSuffixes = append(l.NameSuffixes, fmt.Sprintf("%0*d", min(width, 18), last))
		}
	}
	runs := 0
	for range l.NameSuffixes {
		n := u.readCount()
		l.RunsPerMachine = append(l.RunsPerMachine, n)
		runs += n
	}
	if u.malformed || 3*runs > len(u.remaining) {
		u.malformed = true
		return l
	}
	l.TaskRuns = make([]uint64, 3*runs)
	for i := 2; i < len(l.TaskRuns); i += 3 {
		l.TaskRuns[i] = u.readUint()
	}
	for col := range 2 {
		last := uint64(0)
		for i := 0; i < len(l.TaskRuns); i += 3 {
			l.TaskRuns[i+col] = u.readDelta(last)
			last = l.TaskRuns[i+col] + l.TaskRuns[i+2]
		}
	}
	return l
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
