package audit

import (
	"bytes"
	"crypto/hmac"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	protobuf "google.golang.org/protobuf/proto"

	"dewlift/archive"
	pb "dewlift/proto"
)

// Prefix begins the keys of all blocks. No controller follows it by watch.
const Prefix = "da/a/"

const tagBytes = 8

// BlockKey is the key of a block. Blocks of a controller are listed in the order of their numbers.
func BlockKey(node string, number uint64) string {
	return fmt.Sprintf("%s%s/%012d", Prefix, node, number)
}

// SplitBlockKey is the reverse of BlockKey.
func SplitBlockKey(key string) (node string, number uint64, ok bool) {
	rest, ok := strings.CutPrefix(key, Prefix)
	i := strings.LastIndexByte(rest, '/')
	if !ok || i < 0 {
		return "", 0, false
	}
	if n, err := fmt.Sscanf(rest[i+1:], "%d", &number); n != 1 || err != nil || BlockKey(rest[:i], number) != key {
		return "", 0, false
	}
	return rest[:i], number, true
}

// first is the code that a block's entries follow.
func (k Key) first(b *pb.AuditBlock) []byte {
	var n [12]byte
	binary.BigEndian.PutUint64(n[:], b.Number)
	binary.BigEndian.PutUint32(n[8:], b.BoundMs)
	return k.code([]byte("block"), []byte(b.Node), n[:], b.KeyId, b.Prev)
}

// Encode renders an entry for a block.
func Encode(e *pb.AuditEntry) []byte {
	raw, err := protobuf.MarshalOptions{Deterministic: true}.Marshal(e)
	if err != nil {
		panic(err) // strings of it are valid UTF-8: see Clip
	}
	return raw
}

// Extend makes the block behind a head of as many of the entries, of which there is one at least, as fit a value of at most so many bytes.
func (k Key) Extend(h *Head, node string, boundMS uint32, entries [][]byte, most int) (raw json.RawMessage, n int, code []byte, err error) {
	for n = len(entries); n > 0; n = n * 3 / 4 {
		b := &pb.AuditBlock{Node: node, Number: h.Number + 1, KeyId: k.ID(), Prev: h.Code, BoundMs: boundMS, Entries: entries[:n]}
		code = k.first(b)
		for _, e := range b.Entries {
			code = k.code(code, e)
			b.Tags = append(b.Tags, code[:tagBytes]...)
		}
		b.Code = code
		if raw, err = archive.Pack(b); err != nil || len(raw) <= most {
			return raw, n, code, err
		}
	}
	return nil, 0, nil, fmt.Errorf("an entry of %d bytes fits no value of %d", len(entries[0]), most)
}

// Fault is the first place at which a chain is not as it was written.
type Fault struct {
	Node  string
	Block uint64
	Entry int // from 1; 0: the block as a whole
	Why   string
}

func (f *Fault) Error() string {
	if f.Entry == 0 {
		return fmt.Sprintf("chain of %s: block %d %s", f.Node, f.Block, f.Why)
	}
	return fmt.Sprintf("chain of %s: entry %d of block %d %s", f.Node, f.Entry, f.Block, f.Why)
}

// Chain checks the blocks of a controller one after the other.
type Chain struct {
	Node    string
	Keys    []Key
	Number  uint64 // of the last block
	Code    []byte
	Entries uint64
}

// Block is a block that was read.
type Block struct {
	Number  uint64
	BoundMS uint32
	Entries []*pb.AuditEntry
}

// Next checks the next block; its error is a *Fault. Entries before the fault are as they were written.
func (c *Chain) Next(number uint64, raw json.RawMessage) (*Block, error) {
	fault := func(entry int, why string) error {
		return &Fault{Node: c.Node, Block: number, Entry: entry, Why: why}
	}
	if number != c.Number+1 {
		return nil, &Fault{Node: c.Node, Block: c.Number + 1, Why: fmt.Sprintf("is missing: block %d follows", number)}
	}
	var m pb.AuditBlock
	if err := archive.Unpack(raw, &m); err != nil {
		return nil, fault(0, "can't be read: "+err.Error())
	}
	if m.Node != c.Node || m.Number != number {
		return nil, fault(0, fmt.Sprintf("is block %d of %s", m.Number, m.Node))
	}
	if !bytes.Equal(m.Prev, c.Code) {
		return nil, fault(0, "does not follow the one before: that, or this one, was replaced")
	}
	var key Key
	for _, k := range c.Keys {
		if bytes.Equal(k.ID(), m.KeyId) {
			key = k
		}
	}
	if key == nil {
		return nil, fault(0, fmt.Sprintf("is signed with another key (%x)", m.KeyId))
	}
	out := &Block{Number: number, BoundMS: m.BoundMs}
	code := key.first(&m)
	for i, raw := range m.Entries {
		code = key.code(code, raw)
		if len(m.Tags) < (i+1)*tagBytes || !hmac.Equal(code[:tagBytes], m.Tags[i*tagBytes:(i+1)*tagBytes]) {
			return out, fault(i+1, "was altered, added, removed or moved")
		}
		e := &pb.AuditEntry{}
		if err := protobuf.Unmarshal(raw, e); err != nil {
			return out, fault(i+1, "can't be read: "+err.Error())
		}
		out.Entries = append(out.Entries, e)
	}
	if len(m.Tags) != len(m.Entries)*tagBytes || !hmac.Equal(code, m.Code) {
		return out, fault(len(m.Entries)+1, "was removed, or the block's code was altered")
	}
	c.Number, c.Code = number, code
	c.Entries += uint64(len(m.Entries))
	return out, nil
}

// Reads reads a block without checking it.
func Reads(raw json.RawMessage) (*Block, error) {
	var m pb.AuditBlock
	if err := archive.Unpack(raw, &m); err != nil {
		return nil, err
	}
	out := &Block{Number: m.Number, BoundMS: m.BoundMs}
	for _, raw := range m.Entries {
		e := &pb.AuditEntry{}
		if err := protobuf.Unmarshal(raw, e); err != nil {
			return nil, fmt.Errorf("%w: %w", archive.ErrCorrupt, err)
		}
		out.Entries = append(out.Entries, e)
	}
	return out, nil
}

// Carried is an entry in the value whose change it tells of, until it is in a block.
type Carried struct {
	Node  string `json:"a"`
	Life  uint64 `json:"l"`
	Count uint64 `json:"q"`
	Entry []byte `json:"e"` // pb.AuditEntry
	Tag   []byte `json:"t"` // 16 bytes of a code
}

// ErrForged tells that a carried entry is not as its controller wrote it.
var ErrForged = errors.New("carried entry is not as it was written")

// Carry makes an entry ready to be put with the change it tells of, in a value of this key.
func (k Key) Carry(node, at string, e *pb.AuditEntry) Carried {
	c := Carried{Node: node, Life: e.Life, Count: e.Count, Entry: Encode(e)}
	c.Tag = k.carryTag(at, &c)
	return c
}

func (k Key) carryTag(at string, c *Carried) []byte {
	return k.code([]byte("carried"), []byte(c.Node), []byte(at), c.Entry)[:16]
}

// Open checks a carried entry that was read.
func (k Key) Open(at string, c *Carried) (*pb.AuditEntry, error) {
	e := &pb.AuditEntry{}
	if err := protobuf.Unmarshal(c.Entry, e); err != nil || !hmac.Equal(c.Tag, k.carryTag(at, c)) || e.Life != c.Life || e.Count != c.Count {
		return nil, ErrForged
	}
	return e, nil
}
