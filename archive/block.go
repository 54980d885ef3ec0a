// Package archive stores ended jobs in compact blocks, sorted by job ID. It defines how blocks are encoded,
// found, filled and split, and owns the cache of blocks. It does no I/O: package core reads and writes the
// blocks.
//
// The key-value store keeps its keys in order. The key of a block contains the first ID after its range, so
// that the first block key that sorts after an ID is that of the block for the ID: one read finds a job
// without an index in memory.
package archive

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	protobuf "google.golang.org/protobuf/proto"

	"dewlift/internal/compress"
	pb "dewlift/proto"
)

const (
	// BlockPrefix is the prefix of the keys of all blocks. No controller watches it.
	BlockPrefix = "da/b/"
	// MaxID is the end of the last block's range: it is after all job IDs.
	MaxID = "~"

	maxDecompressedBytes = 4 << 20 // of a block's message after decompression
)

// ErrTooManyBlocks is returned if a block that was written under larger limits would have to be split into
// more blocks than a transaction may write. The block stays unchanged and readable.
var ErrTooManyBlocks = errors.New("splitting the block exceeds the write limit of a transaction")

// ErrCorrupt is wrapped by the errors of decoding a value that is not a valid block.
var ErrCorrupt = errors.New("corrupt block")

// BlockKey returns the key of the block whose range ends before high.
func BlockKey(high string) string { return BlockPrefix + high }

// SeekKey returns the key after which a range read starts so that its first item is the block for an ID.
func SeekKey(id string) string { return BlockPrefix + id }

// StopReason records why and when a task of a job was stopped. AtMS is Unix time in milliseconds.
type StopReason struct {
	Task    int
	Machine string
	Cause   string
	AtMS    int64
}

// Entry is an ended job.
type Entry struct {
	ID             string
	Cancelled      bool
	CompletedTasks int
	CancelledByJob string // the cancelled dependency that caused its cancellation, if any
	StopReasons    []StopReason
	Team           string // Team and Class are both empty if they are unknown
	Class          string
}

// Block holds all archived jobs with IDs in [Low, High), sorted by ID.
type Block struct {
	Low, High string
	Entries   []Entry
}

// EmptyBlock returns the block of an empty archive: its range covers all IDs.
func EmptyBlock() *Block { return &Block{High: MaxID} }

// Covers reports whether an ID is in the block's range.
func (b *Block) Covers(id string) bool { return b.Low <= id && id < b.High }

// Find returns the entry of a job and whether there is one.
func (b *Block) Find(id string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(b.Entries, id, func(e Entry, id string) int { return strings.Compare(e.ID, id) })
	if !ok {
		return Entry{}, false
	}
	return b.Entries[i], true
}

// Merge returns a copy of the block with entries added, which must be sorted by ID and within its range. An
// entry that the block already has is kept unchanged, because an ended job never changes.
func (b *Block) Merge(added []Entry) *Block {
	merged := &Block{Low: b.Low, High: b.High, Entries: make([]Entry, 0, len(b.Entries)+len(added))}
	old := b.Entries
	for _, entry := range added {
		for len(old) > 0 && old[0].ID < entry.ID {
			merged.Entries = append(merged.Entries, old[0])
			old = old[1:]
		}
		if len(old) == 0 || old[0].ID != entry.ID {
			merged.Entries = append(merged.Entries, entry)
		}
	}
	merged.Entries = append(merged.Entries, old...)
	return merged
}

// splitInHalf splits a block of at least two entries into two halves.
func (b *Block) splitInHalf() (lower, upper *Block) {
	half := len(b.Entries) / 2
	middle := b.Entries[half].ID
	return &Block{Low: b.Low, High: middle, Entries: b.Entries[:half]},
		&Block{Low: middle, High: b.High, Entries: b.Entries[half:]}
}

// EncodedBlock is a block with its stored value.
type EncodedBlock struct {
	*Block
	Value json.RawMessage
}

// EncodeToFit encodes a block and splits it as often as needed for values of at most maxBytes. The results
// are in the order of their ranges, and the last one keeps the block's key. It returns an error if a single
// entry does not fit.
func (b *Block) EncodeToFit(maxBytes int) ([]EncodedBlock, error) {
	raw, err := b.Encode()
	if err != nil {
		return nil, err
	}
	if len(raw) <= maxBytes {
		return []EncodedBlock{{b, raw}}, nil
	}
	if len(b.Entries) < 2 {
		return nil, fmt.Errorf("block of %d entries has %d bytes, the limit is %d", len(b.Entries), len(raw), maxBytes)
	}
	return b.encodeHalves(maxBytes)
}

// encodeHalves splits a block of at least two entries and encodes both halves.
func (b *Block) encodeHalves(maxBytes int) ([]EncodedBlock, error) {
	lower, upper := b.splitInHalf()
	blocks, err := lower.EncodeToFit(maxBytes)
	if err != nil {
		return nil, err
	}
	more, err := upper.EncodeToFit(maxBytes)
	return append(blocks, more...), err
}

// storedValue is the form of a message in the key-value store.
type storedValue struct {
	Digest uint64 `json:"x,string"` // xxHash64 of Data
	Data   []byte `json:"z"`        // the compressed message
}

// Encode encodes a block as a stored value. Each ID is stored without the prefix that it shares with the
// previous one, and the other fields are stored in columns, which compress well.
func (b *Block) Encode() (json.RawMessage, error) {
	message := pb.Block{Low: b.Low, High: b.High}
	lastID, lastCancelled := "", 0
	groupNumbers := map[[2]string]uint32{} // by team and class; from 1
	for i := range b.Entries {
		entry := &b.Entries[i]
		shared := commonPrefix(entry.ID, lastID)
		lastID = entry.ID
		message.Shared = append(message.Shared, uint32(shared))
		message.Rest = append(message.Rest, uint32(len(entry.ID)-shared))
		message.Tails = append(message.Tails, entry.ID[shared:]...)
		message.Done = append(message.Done, uint32(entry.CompletedTasks))
		if entry.Cancelled {
			message.Cancelled = append(message.Cancelled, uint32(i-lastCancelled))
			lastCancelled = i
		}
		if group := [2]string{entry.Team, entry.Class}; group != [2]string{} {
			if groupNumbers[group] == 0 {
				message.Groups = append(message.Groups, &pb.Group{Team: entry.Team, Class: entry.Class})
				groupNumbers[group] = uint32(len(message.Groups))
			}
			message.Group = append(message.Group, make([]uint32, i-len(message.Group))...) // entries without a group
			message.Group = append(message.Group, groupNumbers[group])
		}
		if entry.CancelledByJob != "" || len(entry.StopReasons) > 0 {
			message.Details = append(message.Details, detailMessage(i, entry))
		}
	}
	return Pack(&message)
}

// commonPrefix returns the length of the common prefix of two IDs.
func commonPrefix(a, b string) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// detailMessage encodes the fields of an entry that only few entries have.
func detailMessage(index int, entry *Entry) *pb.Detail {
	detail := &pb.Detail{Entry: uint32(index), By: entry.CancelledByJob}
	for _, stop := range entry.StopReasons {
		detail.Why = append(detail.Why, &pb.Stop{
			Task:    uint32(stop.Task),
			Machine: stop.Machine,
			Cause:   stop.Cause,
			AtMs:    stop.AtMS,
		})
	}
	return detail
}

// Pack encodes a message as a compressed stored value with a digest.
func Pack(message protobuf.Message) (json.RawMessage, error) {
	raw, err := protobuf.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode block: %w", err)
	}
	data, err := compress.Deflate(raw)
	if err != nil {
		return nil, fmt.Errorf("encode block: %w", err)
	}
	return json.Marshal(storedValue{Digest: xxhash.Sum64(data), Data: data})
}

// Unpack decodes a value that Pack encoded. Its errors wrap ErrCorrupt.
func Unpack(raw json.RawMessage, message protobuf.Message) error {
	var stored storedValue
	if err := json.Unmarshal(raw, &stored); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if xxhash.Sum64(stored.Data) != stored.Digest {
		return fmt.Errorf("%w: digest mismatch", ErrCorrupt)
	}
	plain, err := compress.Inflate(stored.Data, maxDecompressedBytes)
	if err == nil {
		err = protobuf.Unmarshal(plain, message)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}

// Decode decodes a value that Block.Encode encoded. Any other value is an error that wraps ErrCorrupt: a
// corrupt block must not be used to answer for a job that it may have contained.
func Decode(raw json.RawMessage) (*Block, error) {
	var message pb.Block
	if err := Unpack(raw, &message); err != nil {
		return nil, err
	}
	block, err := fromMessage(&message)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return block, nil
}

// fromMessage decodes a block's message and checks everything that Encode guarantees.
func fromMessage(message *pb.Block) (*Block, error) {
	count := len(message.Shared)
	if len(message.Rest) != count || len(message.Done) != count || message.Low >= message.High {
		return nil, errors.New("inconsistent column lengths or invalid range")
	}
	block := &Block{Low: message.Low, High: message.High, Entries: make([]Entry, count)}
	if err := block.decodeIDs(message); err != nil {
		return nil, err
	}
	if err := block.decodeGroups(message); err != nil {
		return nil, err
	}
	if err := block.decodeCancelled(message); err != nil {
		return nil, err
	}
	if err := block.decodeDetails(message); err != nil {
		return nil, err
	}
	return block, nil
}

// decodeIDs sets the IDs and completed tasks of all entries.
func (b *Block) decodeIDs(message *pb.Block) error {
	lastID, tails := "", string(message.Tails)
	for i := range b.Entries {
		shared, rest := int(message.Shared[i]), int(message.Rest[i])
		if shared > len(lastID) || rest > len(tails) {
			return errors.New("truncated IDs")
		}
		id := lastID[:shared] + tails[:rest]
		tails = tails[rest:]
		if i > 0 && id <= lastID || !b.Covers(id) {
			return errors.New("job ID out of order or out of range")
		}
		lastID = id
		b.Entries[i] = Entry{ID: id, CompletedTasks: int(message.Done[i])}
	}
	if tails != "" {
		return errors.New("trailing data after the IDs")
	}
	return nil
}

// decodeGroups sets the teams and classes of the entries; group 0 means that they are unknown.
func (b *Block) decodeGroups(message *pb.Block) error {
	if len(message.Group) > len(b.Entries) {
		return errors.New("more groups than entries")
	}
	for i, number := range message.Group {
		if int(number) > len(message.Groups) {
			return errors.New("unknown group number")
		}
		if number > 0 {
			group := message.Groups[number-1]
			b.Entries[i].Team, b.Entries[i].Class = group.Team, group.Class
		}
	}
	return nil
}

// decodeCancelled marks the cancelled entries, whose indexes are stored as differences.
func (b *Block) decodeCancelled(message *pb.Block) error {
	index := 0
	for i, distance := range message.Cancelled {
		if index += int(distance); index >= len(b.Entries) || i > 0 && distance == 0 {
			return errors.New("index of a cancelled entry is out of range")
		}
		b.Entries[index].Cancelled = true
	}
	return nil
}

// decodeDetails sets the fields that only few entries have.
func (b *Block) decodeDetails(message *pb.Block) error {
	for _, detail := range message.Details {
		if int(detail.Entry) >= len(b.Entries) {
			return errors.New("entry index of details is out of range")
		}
		entry := &b.Entries[detail.Entry]
		entry.CancelledByJob = detail.By
		for _, stop := range detail.Why {
			entry.StopReasons = append(entry.StopReasons, StopReason{
				Task:    int(stop.Task),
				Machine: stop.Machine,
				Cause:   stop.Cause,
				AtMS:    stop.AtMs,
			})
		}
	}
	return nil
}
