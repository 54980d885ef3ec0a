package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"

	"dewlift/internal/squeeze"
	"dewlift/wire"
)

// A packed record holds its lists column by column as differences between neighbours, which
// are mostly the same small numbers, and compressed: a job of 500 tasks on as many machines takes
// about a kilobyte. Records that fit a value as they are stay readable.

var errPacked = errors.New("packed lists do not fit together")

// mostUnpacked bounds what a packed value may expand to.
const mostUnpacked = 4 << 20

// packAll moves a record's lists into Packed.
func (r *Record) packAll() error {
	var p packer
	p.num(len(r.Place))
	for i := range r.Place {
		p.place(&r.Place[i])
	}
	p.ranges(r.Done)
	r.Place, r.Done = nil, nil
	if r.Spec != nil {
		p.names(r.Spec.Dependencies)
		s := *r.Spec
		s.Dependencies = nil
		r.Spec = &s
	}
	var err error
	r.Packed, err = squeeze.Deflate(p.b)
	return err
}

// unpackAll is the reverse of packAll.
func (r *Record) unpackAll() error {
	raw, err := squeeze.Inflate(r.Packed, mostUnpacked)
	if err != nil {
		return err
	}
	u := unpacker{b: raw}
	n := u.num()
	for i := 0; i < n && !u.bad; i++ {
		r.Place = append(r.Place, u.place())
	}
	r.Done = u.ranges()
	if r.Spec != nil {
		r.Spec.Dependencies = u.names()
	}
	if u.bad || len(u.b) > 0 {
		return errPacked
	}
	r.Packed = nil
	return nil
}

type packer struct{ b []byte }

func (p *packer) uint(v uint64) { p.b = binary.AppendUvarint(p.b, v) }
func (p *packer) num(v int)     { p.uint(uint64(v)) }
func (p *packer) text(s string) { p.num(len(s)); p.b = append(p.b, s...) }

// diff writes a number as its difference from another, which wraps around.
func (p *packer) diff(v, from uint64) { p.b = binary.AppendVarint(p.b, int64(v-from)) }

// names writes what each name shares with the one before it, and the rest.
func (p *packer) names(list []string) {
	p.num(len(list))
	last := ""
	for _, s := range list {
		n := 0
		for n < min(len(s), len(last)) && s[n] == last[n] {
			n++
		}
		p.num(n)
		p.text(s[n:])
		last = s
	}
}

// digits is the length of the names if all are decimal numbers of one length; else 0.
func digits(names []string) int {
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

func (p *packer) place(l *Placed) {
	p.text(l.Zone)
	p.uint(l.Session)
	p.text(l.Prefix)
	width := digits(l.Names)
	p.num(width)
	if width == 0 {
		p.names(l.Names)
	} else {
		p.num(len(l.Names))
		last := uint64(0)
		for _, s := range l.Names {
			v, err := strconv.ParseUint(s, 10, 64)
			if err != nil {
				panic(err) // up to 18 digits
			}
			p.diff(v, last)
			last = v
		}
	}
	for _, n := range l.Runs {
		p.num(n)
	}
	for i := 2; i < len(l.Tasks); i += 3 {
		p.uint(l.Tasks[i])
	}
	for col := range 2 { // first tasks, then attempts, each from where the run before it ended
		last := uint64(0)
		for i := 0; i < len(l.Tasks); i += 3 {
			p.diff(l.Tasks[i+col], last)
			last = l.Tasks[i+col] + l.Tasks[i+2]
		}
	}
}

func (p *packer) ranges(r Ranges) {
	p.num(len(r))
	last := uint64(0)
	for _, v := range r {
		p.diff(uint64(v), last)
		last = uint64(v)
	}
}

// unpacker reads what a packer wrote; bad is set once it does not fit together.
type unpacker struct {
	b   []byte
	bad bool
}

func (u *unpacker) uint() uint64 {
	v, n := binary.Uvarint(u.b)
	if n <= 0 {
		u.bad, u.b = true, nil
		return 0
	}
	u.b = u.b[n:]
	return v
}

// num is a number of things that follow, each a byte at least, or a small number.
func (u *unpacker) num() int {
	v := u.uint()
	if v > wire.MaxTasksPerJob {
		u.bad, u.b = true, nil
		return 0
	}
	return int(v)
}

func (u *unpacker) diff(from uint64) uint64 {
	v, n := binary.Varint(u.b)
	if n <= 0 {
		u.bad, u.b = true, nil
		return 0
	}
	u.b = u.b[n:]
	return from + uint64(v)
}

func (u *unpacker) text() string {
	n := u.num()
	if n > len(u.b) {
		u.bad, u.b = true, nil
		return ""
	}
	s := string(u.b[:n])
	u.b = u.b[n:]
	return s
}

func (u *unpacker) names() []string {
	var out []string
	last := ""
	for n := u.num(); n > 0 && !u.bad; n-- {
		k := u.num()
		if k > len(last) {
			u.bad = true
			return nil
		}
		last = last[:k] + u.text()
		out = append(out, last)
	}
	return out
}

func (u *unpacker) place() Placed {
	l := Placed{Zone: u.text(), Session: u.uint(), Prefix: u.text()}
	if width := u.num(); width == 0 {
		l.Names = u.names()
	} else {
		last := uint64(0)
		for n := u.num(); n > 0 && !u.bad; n-- {
			last = u.diff(last)
			l.Names = append(l.Names, fmt.Sprintf("%0*d", min(width, 18), last))
		}
	}
	runs := 0
	for range l.Names {
		n := u.num()
		l.Runs = append(l.Runs, n)
		runs += n
	}
	if u.bad || 3*runs > len(u.b) {
		u.bad = true
		return l
	}
	l.Tasks = make([]uint64, 3*runs)
	for i := 2; i < len(l.Tasks); i += 3 {
		l.Tasks[i] = u.uint()
	}
	for col := range 2 {
		last := uint64(0)
		for i := 0; i < len(l.Tasks); i += 3 {
			l.Tasks[i+col] = u.diff(last)
			last = l.Tasks[i+col] + l.Tasks[i+2]
		}
	}
	return l
}

func (u *unpacker) ranges() Ranges {
	var out Ranges
	last := uint64(0)
	for n := u.num(); n > 0 && !u.bad; n-- {
		last = u.diff(last)
		if last > wire.MaxTasksPerJob {
			u.bad = true
			return nil
		}
		out = append(out, int(last))
	}
	return out
}
