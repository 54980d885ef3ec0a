package audit

import (
	"bytes"
	"crypto/hmac"
	"dewlift/archive"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	protobuf "google.golang.org/protobuf/proto"

	pb "dewlift/proto"
)

// BlockPrefix begins the keys of all blocks. No controller follows it by watch.
const BlockPrefix = "da/a/"

const tagBytes = 8

// BlockKey is the key of a block. Blocks of a controller are listed in the order of their numbers.
func BlockKey(node string, number uint64) string {
	return fmt.Sprintf("%s%s/%012d", BlockPrefix, node, number)
}

// SplitBlockKey is the reverse of BlockKey.
func SplitBlockKey(key string) (node string, number uint64, ok bool) {
	rest, ok := strings.CutPrefix(key, BlockPrefix)
	i := strings.LastIndexByte(rest, '/')
	if !ok || i < 0 {
		return "", 0, false
	}
	if n, err := fmt.Sscanf(rest[i+1:], "%d", &number); n != 1 || err != nil || BlockKey(rest[:i], number) != key {
		return "", 0, false
	}
	return rest[:i], number, true
}

// initialMAC is the code that a block's entries follow.
func (k Key) initialMAC(b *pb.AuditBlock) []byte {
	var n [12]byte
	binary.BigEndian.PutUint64(n[:], b.Number)
	binary.BigEndian.PutUint32(n[8:], b.BoundMs)
	return k.mac([]byte("block"), []byte(b.Node), n[:], b.KeyId, b.Prev)
}

// Encode renders an entry for a block.
func Encode(e *pb.AuditEntry) []byte {
	raw, err := protobuf.MarshalOptions{Deterministic: true}.Marshal(e)
	if err != nil {
		panic(err) // strings of it are valid UTF-8: see Clip
	}
	return raw
}

// EncodeNextBlock makes the block behind a head of as many of the entries, of which there is one at
// least, as fit a value of at most so many bytes.
func (k Key) EncodeNextBlock(
	h *Head,
	node string,
	boundMS uint32,
	entries [][]byte,
	most int,
) (raw json.RawMessage, n int, code []byte, err error) {
	for n = len(entries); n > 0; n = n * 3 / 4 {
		b := &pb.AuditBlock{
			Node:    node,
			Number:  h.BlockNumber + 1,
			KeyId:   k.ID(),
			Prev:    h.MAC,
			BoundMs: boundMS,
			Entries: entries[:n],
		}
		code = k.initialMAC(b)
		for _, e := range b.Entries {
			code = k.mac(code, e)
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
	Node   string
	Block  uint64
	Entry  int // from 1; 0: the block as a whole
	Reason string
}

func (f *Fault) Error() string {
	if f.Entry == 0 {
		return fmt.Sprintf("chain of %s: block %d %s", f.Node, f.Block, f.Reason)
	}
	return fmt.Sprintf("chain of %s: entry %d of block %d %s", f.Node, f.Entry, f.Block, f.Reason)
}

// ChainVerifier checks the blocks of a controller one after the other.
type ChainVerifier struct {
	Node        string
	Keys        []Key
	BlockNumber uint64 // of the last block
	MAC         []byte
	EntryCount  uint64
}

// Block is a block that was read.
type Block struct {
	Number       uint64
	ClockErrorMS uint32
	Entries      []*pb.AuditEntry
}

// VerifyNext checks the next block; its error is a *Fault. Entries before the fault are as they were written.
func (c *ChainVerifier) VerifyNext(number uint64, raw json.RawMessage) (*Block, error) {
	fault := func(entry int, why string) error {
		return &Fault{Node: c.Node, Block: number, Entry: entry, Reason: why}
	}
	if number != c.BlockNumber+1 {
		return nil, &Fault{
			Node:   c.Node,
			Block:  c.BlockNumber + 1,
			Reason: fmt.Sprintf("is missing: block %d follows", number),
		}
	}
	var m pb.AuditBlock
	if err := archive.Unpack(raw, &m); err != nil {
		return nil, fault(0, "can't be read: "+err.Error())
	}
	if m.Node != c.Node || m.Number != number {
		return nil, fault(0, fmt.Sprintf("is block %d of %s", m.Number, m.Node))
	}
	if !bytes.Equal(m.Prev, c.MAC) {
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
	out := &Block{Number: number, ClockErrorMS: m.BoundMs}
	code := key.initialMAC(&m)
	for i, raw := range m.Entries {
		code = key.mac(code, raw)
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
	c.BlockNumber, c.MAC = number, code
	c.EntryCount += uint64(len(m.Entries))
	return out, nil
}

// DecodeBlock reads a block without checking it.
func DecodeBlock(raw json.RawMessage) (*Block, error) {
	var m pb.AuditBlock
	if err := archive.Unpack(raw, &m); err != nil {
		return nil, err
	}
	out := &Block{Number: m.Number, ClockErrorMS: m.BoundMs}
	for _, raw := range m.Entries {
		e := &pb.AuditEntry{}
		if err := protobuf.Unmarshal(raw, e); err != nil {
			return nil, fmt.Errorf("%w: %w", archive.ErrCorrupt, err)
		}
		out.Entries = append(out.Entries, e)
	}
	return out, nil
}

// PendingEntry is an entry in the value whose change it tells of, until it is in a block.
type PendingEntry struct {
	Node        string `json:"a"`
	Incarnation uint64 `json:"l"`
	Sequence    uint64 `json:"q"`
	Entry       []byte `json:"e"` // pb.AuditEntry
	MAC         []byte `json:"t"` // 16 bytes of a code
}

// ErrForged tells that a carried entry is not as its controller wrote it.
var ErrForged = errors.New("carried entry is not as it was written")

// SignEntry makes an entry ready to be put with the change it tells of, in a value of this key.
func (k Key) SignEntry(node, at string, e *pb.AuditEntry) PendingEntry {
	c := PendingEntry{Node: node, Incarnation: e.Life, Sequence: e.Count, Entry: Encode(e)}
	c.MAC = k.entryMAC(at, &c)
	return c
}

func (k Key) entryMAC(at string, c *PendingEntry) []byte {
	return k.mac([]byte("carried"), []byte(c.Node), []byte(at), c.Entry)[:16]
}

// VerifyEntry checks a carried entry that was read.
func (k Key) VerifyEntry(at string, c *PendingEntry) (*pb.AuditEntry, error) {
	e := &pb.AuditEntry{}
	if err := protobuf.Unmarshal(c.Entry, e); err != nil || !hmac.Equal(c.MAC, k.entryMAC(at, c)) ||
		e.Life != c.Incarnation ||
		e.Count != c.Sequence {
		return nil, ErrForged
	}
	return e, nil
}
