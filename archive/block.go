// Package archive holds the ends of jobs that are over, in compact blocks sorted by job id. It
// decides how blocks are encoded, found, filled and split; it does no I/O: the core reads and
// writes them.
//
// The state service keeps keys in order. A block's key is the first id behind its range, so
// that the first key behind an id names the block that would hold it: one read finds a job, and
// nothing about it need be kept in memory.
package archive

import (
	"dewlift/internal/compress"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	protobuf "google.golang.org/protobuf/proto"

	pb "dewlift/proto"
)

const (
	// Prefix begins the keys of all blocks. No controller follows it by watch.
	BlockPrefix = "da/b/"
	// Top ends the range of the last block: it is behind all job ids.
	MaxID = "~"

	maxExpandedBytes = 4 << 20 // bytes, of a block
)

// ErrTooManyBlocks tells that a block, written under larger limits, would take more pieces than a
// transaction has changes. It stays as it is, readable.
var ErrTooManyBlocks = errors.New("block takes more pieces than a transaction has changes")

// ErrCorrupt tells that a value is not a block.
var ErrCorrupt = errors.New("corrupt block")

// BlockKey is the key of the block whose range ends at high.
func BlockKey(high string) string { return BlockPrefix + high }

// SeekKey is the key from which a listing begins so that its first row is the block of an id.
func SeekKey(id string) string { return BlockPrefix + id }

// StopReason tells why a task of a job stopped. Times are of day, in ms.
type StopReason struct {
	Task    int
	Machine string
	Cause   string
	AtMS    int64
}

// Entry is the end of a job.
type Entry struct {
	ID             string
	Cancelled      bool
	CompletedTasks int    // tasks completed
	CancelledByJob string // the cancelled job because of which it was cancelled
	StopReasons    []StopReason
	Team           string // "" and "": not known
	Class          string
}

// Block holds the ends of all archived jobs whose ids lie in [Low, High), in their order.
type Block struct {
	Low, High string
	Entries   []Entry
}

// EmptyBlock is the block of an archive that holds nothing.
func EmptyBlock() *Block { return &Block{High: MaxID} }

// Covers reports whether an id lies in the block's range.
func (b *Block) Covers(id string) bool { return b.Low <= id && id < b.High }

// Find returns the end of a job.
func (b *Block) Find(id string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(b.Entries, id, func(e Entry, id string) int { return strings.Compare(e.ID, id) })
	if !ok {
		return Entry{}, false
	}
	return b.Entries[i], true
}

// Merge returns a block with entries added that lie in its range, sorted by id. One that is there
// already stays as it is: an end never changes.
func (b *Block) Merge(add []Entry) *Block {
	out := &Block{Low: b.Low, High: b.High, Entries: make([]Entry, 0, len(b.Entries)+len(add))}
	old := b.Entries
	for _, e := range add {
		for len(old) > 0 && old[0].ID < e.ID {
			out.Entries = append(out.Entries, old[0])
			old = old[1:]
		}
		if len(old) == 0 || old[0].ID != e.ID {
			out.Entries = append(out.Entries, e)
		}
	}
	out.Entries = append(out.Entries, old...)
	return out
}

// splitInHalf splits a block of two entries at least in the middle.
func (b *Block) splitInHalf() (lower, upper *Block) {
	n := len(b.Entries) / 2
	at := b.Entries[n].ID
	return &Block{Low: b.Low, High: at, Entries: b.Entries[:n]}, &Block{Low: at, High: b.High, Entries: b.Entries[n:]}
}

// EncodedBlock is a block as it is written.
type EncodedBlock struct {
	*Block
	Value json.RawMessage
}

// EncodeToFit encodes a block in as few pieces as fit values of at most so many bytes, in order of their
// ranges; the last keeps the block's key. One entry that does not fit alone is an error.
func (b *Block) EncodeToFit(most int) ([]EncodedBlock, error) {
	raw, err := b.Encode()
	if err != nil {
		return nil, err
	}
	if len(raw) <= most {
		return []EncodedBlock{{b, raw}}, nil
	}
	if len(b.Entries) < 2 {
		return nil, fmt.Errorf("a block of %d entries takes %d bytes, %d are allowed", len(b.Entries), len(raw), most)
	}
	lower, upper := b.splitInHalf()
	ps, err := lower.EncodeToFit(most)
	if err != nil {
		return nil, err
	}
	more, err := upper.EncodeToFit(most)
	return append(ps, more...), err
}

// storedValue is a block as the state service holds it.
type storedValue struct {
	Digest uint64 `json:"x,string"` // xxHash64 of Data
	Data   []byte `json:"z"`        // a message, compressed
}

// Encode renders a block.
func (b *Block) Encode() (json.RawMessage, error) {
	m := pb.Block{Low: b.Low, High: b.High}
	last, lastCancelled := "", 0
	groups := map[[2]string]uint32{}
	for i := range b.Entries {
		e := &b.Entries[i]
		n := 0
		for n < min(len(e.ID), len(last)) && e.ID[n] == last[n] {
			n++
		}
		last = e.ID
		m.Shared = append(m.Shared, uint32(n))
		m.Rest = append(m.Rest, uint32(len(e.ID)-n))
		m.Tails = append(m.Tails, e.ID[n:]...)
		m.Done = append(m.Done, uint32(e.CompletedTasks))
		if e.Cancelled {
			m.Cancelled = append(m.Cancelled, uint32(i-lastCancelled))
			lastCancelled = i
		}
		if g := [2]string{e.Team, e.Class}; g != [2]string{} {
			if groups[g] == 0 {
				m.Groups = append(m.Groups, &pb.Group{Team: e.Team, Class: e.Class})
				groups[g] = uint32(len(m.Groups))
			}
			m.Group = append(m.Group, make([]uint32, i-len(m.Group))...)
			m.Group = append(m.Group, groups[g])
		}
		if e.CancelledByJob == "" && len(e.StopReasons) == 0 {
			continue
		}
		d := &pb.Detail{Entry: uint32(i), By: e.CancelledByJob}
		for _, w := range e.StopReasons {
			d.Why = append(d.Why, &pb.Stop{Task: uint32(w.Task), Machine: w.Machine, Cause: w.Cause, AtMs: w.AtMS})
		}
		m.Details = append(m.Details, d)
	}
	return Pack(&m)
}

// Pack renders a message as a value, compressed and with a digest.
func Pack(m protobuf.Message) (json.RawMessage, error) {
	raw, err := protobuf.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode block: %w", err)
	}
	data, err := compress.Deflate(raw)
	if err != nil {
		return nil, fmt.Errorf("encode block: %w", err)
	}
	return json.Marshal(storedValue{Digest: xxhash.Sum64(data), Data: data})
}

// Unpack is the reverse of Pack; its errors wrap ErrCorrupt.
func Unpack(raw json.RawMessage, m protobuf.Message) error {
	var v storedValue
	if err := json.Unmarshal(raw, &v); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if xxhash.Sum64(v.Data) != v.Digest {
		return fmt.Errorf("%w: its digest does not match", ErrCorrupt)
	}
	plain, err := compress.Inflate(v.Data, maxExpandedBytes)
	if err == nil {
		err = protobuf.Unmarshal(plain, m)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}

// Decode reads what Encode wrote. Whatever is not exactly that is an error that wraps ErrCorrupt:
// a damaged block must not answer for a job that it may have held.
func Decode(raw json.RawMessage) (*Block, error) {
	var m pb.Block
	if err := Unpack(raw, &m); err != nil {
		return nil, err
	}
	b, err := fromMessage(&m)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return b, nil
}

func fromMessage(m *pb.Block) (*Block, error) {
	n := len(m.Shared)
	if len(m.Rest) != n || len(m.Done) != n || m.Low >= m.High {
		return nil, errors.New("its columns do not fit together")
	}
	b := &Block{Low: m.Low, High: m.High, Entries: make([]Entry, n)}
	last, tails := "", string(m.Tails)
	for i := range b.Entries {
		share, rest := int(m.Shared[i]), int(m.Rest[i])
		if share > len(last) || rest > len(tails) {
			return nil, errors.New("an id is cut off")
		}
		id := last[:share] + tails[:rest]
		tails = tails[rest:]
		if i > 0 && id <= last || !b.Covers(id) {
			return nil, errors.New("an id is out of order or out of range")
		}
		last = id
		b.Entries[i] = Entry{ID: id, CompletedTasks: int(m.Done[i])}
	}
	if tails != "" {
		return nil, errors.New("something follows the ids")
	}
	if len(m.Group) > n {
		return nil, errors.New("groups of no entry")
	}
	for i, g := range m.Group {
		if int(g) > len(m.Groups) {
			return nil, errors.New("an unknown group")
		}
		if g > 0 {
			b.Entries[i].Team, b.Entries[i].Class = m.Groups[g-1].Team, m.Groups[g-1].Class
		}
	}
	at := 0
	for i, d := range m.Cancelled {
		if at += int(d); at >= n || i > 0 && d == 0 {
			return nil, errors.New("a cancelled entry is out of range")
		}
		b.Entries[at].Cancelled = true
	}
	for _, d := range m.Details {
		if int(d.Entry) >= n {
			return nil, errors.New("details of no entry")
		}
		e := &b.Entries[d.Entry]
		e.CancelledByJob = d.By
		for _, w := range d.Why {
			e.StopReasons = append(
				e.StopReasons,
				StopReason{Task: int(w.Task), Machine: w.Machine, Cause: w.Cause, AtMS: w.AtMs},
			)
		}
	}
	return b, nil
}
