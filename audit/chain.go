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

// BlockPrefix is the prefix of the keys of all blocks. No controller watches them.
const BlockPrefix = "da/a/"

const (
	// tagBytes is the length of the truncated MAC that is stored for each entry and locates an alteration. The MAC
	// of the whole block is not truncated.
	tagBytes = 8

	// entryMACBytes is the length of the truncated MAC of a pending entry.
	entryMACBytes = 16
)

// BlockKey returns the key under which a block is stored. The keys of a controller's blocks sort by number.
func BlockKey(node string, number uint64) string {
	return fmt.Sprintf("%s%s/%012d", BlockPrefix, node, number)
}

// SplitBlockKey returns the controller and the number in a key that BlockKey made. It reports false for any other
// key.
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

// initialMAC returns the MAC of a block's header, from which the MACs of its entries are chained.
func (k Key) initialMAC(block *pb.AuditBlock) []byte {
	var header [12]byte
	binary.BigEndian.PutUint64(header[:], block.Number)
	binary.BigEndian.PutUint32(header[8:], block.BoundMs)
	return k.mac([]byte("block"), []byte(block.Node), header[:], block.KeyId, block.Prev)
}

// EncodeEntry encodes an entry for a block.
func EncodeEntry(entry *pb.AuditEntry) []byte {
	raw, err := protobuf.MarshalOptions{Deterministic: true}.Marshal(entry)
	if err != nil {
		panic(err) // impossible: its strings are valid UTF-8, see TruncateText
	}
	return raw
}

// EncodeNextBlock returns the block that follows a head, its MAC, and the number n of leading entries in it. If the
// entries don't all fit a value of maxBytes, it tries fewer and fewer; it returns an error if not even one fits.
func (k Key) EncodeNextBlock(
	head *Head,
	node string,
	clockErrorMS uint32,
	entries [][]byte,
	maxBytes int,
) (raw json.RawMessage, n int, mac []byte, err error) {
	for n = len(entries); n > 0; n = n * 3 / 4 {
		block := &pb.AuditBlock{
			Node:    node,
			Number:  head.BlockNumber + 1,
			KeyId:   k.ID(),
			Prev:    head.MAC,
			BoundMs: clockErrorMS,
			Entries: entries[:n],
		}
		mac = k.initialMAC(block)
		for _, entry := range block.Entries {
			mac = k.mac(mac, entry)
			block.Tags = append(block.Tags, mac[:tagBytes]...)
		}
		block.Code = mac
		if raw, err = archive.Pack(block); err != nil || len(raw) <= maxBytes {
			return raw, n, mac, err
		}
	}
	return nil, 0, nil, fmt.Errorf("an entry of %d bytes does not fit a value of %d bytes", len(entries[0]), maxBytes)
}

// ChainError names the first place at which a chain differs from what was written.
type ChainError struct {
	Node   string
	Block  uint64
	Entry  int // from 1; 0: the block as a whole
	Reason string
}

// Error implements error.
func (e *ChainError) Error() string {
	if e.Entry == 0 {
		return fmt.Sprintf("chain of %s: block %d %s", e.Node, e.Block, e.Reason)
	}
	return fmt.Sprintf("chain of %s: entry %d of block %d %s", e.Node, e.Entry, e.Block, e.Reason)
}

// ChainVerifier verifies the chain of a controller, block by block.
type ChainVerifier struct {
	Node        string
	Keys        []Key  // any of which may have signed a block
	BlockNumber uint64 // of the last verified block
	MAC         []byte // of the last verified block
	EntryCount  uint64
}

// Block is a decoded block.
type Block struct {
	Number       uint64
	ClockErrorMS uint32
	Entries      []*pb.AuditEntry
}

// VerifyNext verifies the next block. Its error is a *ChainError; the entries returned with it precede the altered
// place and are as they were written.
func (c *ChainVerifier) VerifyNext(number uint64, raw json.RawMessage) (*Block, error) {
	if number != c.BlockNumber+1 {
		return nil, c.errorAt(c.BlockNumber+1, 0, fmt.Sprintf("is missing: block %d follows", number))
	}
	var stored pb.AuditBlock
	if err := archive.Unpack(raw, &stored); err != nil {
		return nil, c.errorAt(number, 0, "can't be read: "+err.Error())
	}
	if stored.Node != c.Node || stored.Number != number {
		return nil, c.errorAt(number, 0, fmt.Sprintf("is block %d of %s", stored.Number, stored.Node))
	}
	if !bytes.Equal(stored.Prev, c.MAC) {
		return nil, c.errorAt(number, 0, "does not continue the previous block: one of the two was replaced")
	}
	key := c.keyWithID(stored.KeyId)
	if key == nil {
		return nil, c.errorAt(number, 0, fmt.Sprintf("is signed with another key (%x)", stored.KeyId))
	}
	block, mac, err := c.verifyEntries(key, &stored)
	if err != nil {
		return block, err
	}
	c.BlockNumber, c.MAC = number, mac
	c.EntryCount += uint64(len(stored.Entries))
	return block, nil
}

// errorAt returns a ChainError for a block of this chain, or for an entry of it.
func (c *ChainVerifier) errorAt(block uint64, entry int, reason string) error {
	return &ChainError{Node: c.Node, Block: block, Entry: entry, Reason: reason}
}

// keyWithID returns the key with that ID, or nil.
func (c *ChainVerifier) keyWithID(id []byte) Key {
	var found Key
	for _, key := range c.Keys {
		if bytes.Equal(key.ID(), id) {
			found = key
		}
	}
	return found
}

// verifyEntries verifies the entries and the MAC of a block, and returns that MAC.
func (c *ChainVerifier) verifyEntries(key Key, stored *pb.AuditBlock) (*Block, []byte, error) {
	block := &Block{Number: stored.Number, ClockErrorMS: stored.BoundMs}
	mac := key.initialMAC(stored)
	for i, raw := range stored.Entries {
		mac = key.mac(mac, raw)
		if len(stored.Tags) < (i+1)*tagBytes ||
			!hmac.Equal(mac[:tagBytes], stored.Tags[i*tagBytes:(i+1)*tagBytes]) {
			return block, nil, c.errorAt(stored.Number, i+1, "was altered, added, removed or moved")
		}
		entry := &pb.AuditEntry{}
		if err := protobuf.Unmarshal(raw, entry); err != nil {
			return block, nil, c.errorAt(stored.Number, i+1, "can't be read: "+err.Error())
		}
		block.Entries = append(block.Entries, entry)
	}
	if len(stored.Tags) != len(stored.Entries)*tagBytes || !hmac.Equal(mac, stored.Code) {
		reason := "was removed, or the MAC of the block was altered"
		return block, nil, c.errorAt(stored.Number, len(stored.Entries)+1, reason)
	}
	return block, mac, nil
}

// DecodeBlock reads a block without verifying it.
func DecodeBlock(raw json.RawMessage) (*Block, error) {
	var stored pb.AuditBlock
	if err := archive.Unpack(raw, &stored); err != nil {
		return nil, err
	}
	block := &Block{Number: stored.Number, ClockErrorMS: stored.BoundMs}
	for _, raw := range stored.Entries {
		entry := &pb.AuditEntry{}
		if err := protobuf.Unmarshal(raw, entry); err != nil {
			return nil, fmt.Errorf("%w: %w", archive.ErrCorrupt, err)
		}
		block.Entries = append(block.Entries, entry)
	}
	return block, nil
}

// PendingEntry is an entry that is not in a block yet. The value whose change it records carries it or, where that
// value can't, another value that the same transaction writes.
type PendingEntry struct {
	Node        string `json:"a"`
	Incarnation uint64 `json:"l"`
	Sequence    uint64 `json:"q"`
	Entry       []byte `json:"e"` // pb.AuditEntry
	MAC         []byte `json:"t"` // the first entryMACBytes
}

// ErrForged is the error of a pending entry that was altered since its controller wrote it. Its text is stored in
// the audit log.
var ErrForged = errors.New("carried entry is not as it was written")

// SignEntry returns the signed form in which the value of a key carries an entry.
func (k Key) SignEntry(node, valueKey string, entry *pb.AuditEntry) PendingEntry {
	pending := PendingEntry{Node: node, Incarnation: entry.Life, Sequence: entry.Count, Entry: EncodeEntry(entry)}
	pending.MAC = k.entryMAC(valueKey, &pending)
	return pending
}

// entryMAC returns the MAC of a pending entry. It is valid only for the controller of the entry and for the value under
// valueKey.
func (k Key) entryMAC(valueKey string, pending *PendingEntry) []byte {
	return k.mac([]byte("carried"), []byte(pending.Node), []byte(valueKey), pending.Entry)[:entryMACBytes]
}

// VerifyEntry verifies and decodes a pending entry that the value of a key carries. Its error is ErrForged.
func (k Key) VerifyEntry(valueKey string, pending *PendingEntry) (*pb.AuditEntry, error) {
	entry := &pb.AuditEntry{}
	if err := protobuf.Unmarshal(pending.Entry, entry); err != nil ||
		!hmac.Equal(pending.MAC, k.entryMAC(valueKey, pending)) ||
		entry.Life != pending.Incarnation ||
		entry.Count != pending.Sequence {
		return nil, ErrForged
	}
	return entry, nil
}
