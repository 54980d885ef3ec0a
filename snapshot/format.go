// Package snapshot saves the whole state of a running cluster to a file as of one revision, verifies such
// files, and restores one to an empty key-value store. It owns the file format. It does not modify a store
// that contains anything else.
//
// A file starts with Magic, followed by parts (proto/history.proto), each preceded by its length as a varint.
// The last part is the trailer: the numbers of parts and keys, the revision, the time, and a digest of all
// parts' digests. Keys are in order.
package snapshot

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"io"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protodelim"
	protobuf "google.golang.org/protobuf/proto"

	pb "dewlift/proto"
)

const (
	// Magic is the header of a file.
	Magic = "dewlift snapshot\n"
	// FormatVersion is the version of the format that is written, and the newest one that can be read.
	FormatVersion = 1

	partFlushBytes   = 256 << 10 // size of the pending keys, before compression, at which a part is written
	keyOverheadBytes = 16        // per key, in addition to its name and value
	maxPartBytes     = 16 << 20  // maximum size of a part that is read, before and after decompression
)

// Writer writes a snapshot file.
type Writer struct {
	out          io.Writer
	encoder      *zstd.Encoder
	pendingKeys  pb.Keys
	pendingBytes int
	digestSum    hash.Hash
	trailer      pb.Trailer
}

// NewWriter returns a Writer and writes the header.
func NewWriter(w io.Writer) (*Writer, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if _, err := io.WriteString(w, Magic); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return &Writer{out: w, encoder: encoder, digestSum: sha256.New(), trailer: pb.Trailer{Version: FormatVersion}}, nil
}

// Add adds a key. Keys must be added in order.
func (w *Writer) Add(key *pb.Key) error {
	w.pendingKeys.Keys = append(w.pendingKeys.Keys, key)
	w.trailer.Keys++
	w.pendingBytes += len(key.Name) + len(key.Value) + keyOverheadBytes
	if w.pendingBytes < partFlushBytes {
		return nil
	}
	return w.flush()
}

// flush writes the pending keys as a part.
func (w *Writer) flush() error {
	if len(w.pendingKeys.Keys) == 0 {
		return nil
	}
	w.trailer.Parts++
	err := w.writePart(w.trailer.Parts, &w.pendingKeys, false)
	w.pendingKeys.Keys, w.pendingBytes = nil, 0
	return err
}

// writePart writes a part that contains keys, or the trailer if it is the last one.
func (w *Writer) writePart(number uint32, message protobuf.Message, last bool) error {
	raw, err := protobuf.Marshal(message)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	data := w.encoder.EncodeAll(raw, nil)
	part := &pb.Part{Number: number, Digest: partDigest(number, data), Keys: data}
	if last {
		part.Keys, part.Trailer = nil, data
	}
	w.digestSum.Write(part.Digest)
	if _, err := protodelim.MarshalTo(w.out, part); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// Close writes the pending keys and the trailer, with the revision of the snapshot and the time at which it
// was taken.
func (w *Writer) Close(revision uint64, taken time.Time) error {
	if err := w.flush(); err != nil {
		return err
	}
	w.trailer.Ledger, w.trailer.TakenMs, w.trailer.Digest = revision, taken.UnixMilli(), w.digestSum.Sum(nil)
	return w.writePart(w.trailer.Parts+1, &w.trailer, true)
}

// partDigest returns the digest of a part, which includes its number so that reordered parts are detected.
func partDigest(number uint32, data []byte) []byte {
	digest := sha256.New()
	digest.Write(binary.BigEndian.AppendUint32(nil, number))
	digest.Write(data)
	return digest.Sum(nil)
}

// ErrDamaged is wrapped by the errors of reading a file that is not a complete snapshot.
var ErrDamaged = errors.New("damaged snapshot")

// Read reads a snapshot and calls visit for each key, in order. The file is known to be complete only when
// Read returns without an error: before that, the caller must not rely on any key. An error names the part.
func Read(r io.Reader, visit func(*pb.Key) error) (*pb.Trailer, error) {
	in := bufio.NewReaderSize(r, 1<<16)
	magic := make([]byte, len(Magic))
	if _, err := io.ReadFull(in, magic); err != nil || string(magic) != Magic {
		return nil, fmt.Errorf("%w: missing header", ErrDamaged)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPartBytes))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer decoder.Close()
	parts := &partReader{in: in, decoder: decoder, digestSum: sha256.New()}
	for {
		part, raw, err := parts.next()
		if err != nil {
			return nil, err
		}
		if part.Trailer != nil {
			return parts.readTrailer(raw)
		}
		parts.digestSum.Write(part.Digest)
		if err := parts.visitKeys(raw, visit); err != nil {
			return nil, err
		}
	}
}

// partReader reads the parts of a snapshot and computes the values that the trailer must match.
type partReader struct {
	in        *bufio.Reader
	decoder   *zstd.Decoder
	number    uint32 // of the part read last, from 1
	keys      uint64
	lastName  string // of the key read last
	digestSum hash.Hash
}

// next reads a part and decompresses its content.
func (r *partReader) next() (*pb.Part, []byte, error) {
	r.number++
	part := &pb.Part{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxPartBytes}).UnmarshalFrom(r.in, part); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, nil, fmt.Errorf("%w: truncated in part %d", ErrDamaged, r.number)
		}
		return nil, nil, r.partError(err)
	}
	data := part.Keys
	data = append(data, part.Trailer...) // one of them is empty
	if part.Number != r.number || !bytes.Equal(part.Digest, partDigest(r.number, data)) {
		return nil, nil, fmt.Errorf("%w: part %d: digest mismatch", ErrDamaged, r.number)
	}
	raw, err := r.decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, nil, r.partError(err)
	}
	return part, raw, nil
}

// partError wraps an error of decoding the last part read.
func (r *partReader) partError(err error) error {
	return fmt.Errorf("%w: part %d: %w", ErrDamaged, r.number, err)
}

// visitKeys decodes the keys of a part and calls visit for each. Errors of visit are returned unchanged.
func (r *partReader) visitKeys(raw []byte, visit func(*pb.Key) error) error {
	var part pb.Keys
	if err := protobuf.Unmarshal(raw, &part); err != nil {
		return r.partError(err)
	}
	for _, key := range part.Keys {
		if key.Name <= r.lastName {
			return fmt.Errorf("%w: part %d: keys are out of order", ErrDamaged, r.number)
		}
		r.lastName = key.Name
		r.keys++
		if err := visit(key); err != nil {
			return err
		}
	}
	return nil
}

// readTrailer decodes the trailer and checks that it matches the parts and that nothing follows it.
func (r *partReader) readTrailer(raw []byte) (*pb.Trailer, error) {
	var trailer pb.Trailer
	err := protobuf.Unmarshal(raw, &trailer)
	if _, end := r.in.ReadByte(); err == nil && !errors.Is(end, io.EOF) {
		err = errors.New("trailing data after the last part")
	}
	switch {
	case err != nil:
	case trailer.Version > FormatVersion:
		return nil, fmt.Errorf(
			"snapshot format %d is newer than the supported format %d", trailer.Version, FormatVersion)
	case trailer.Parts != r.number-1 || trailer.Keys != r.keys || !bytes.Equal(trailer.Digest, r.digestSum.Sum(nil)):
		err = errors.New("the trailer does not match the parts")
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return &trailer, nil
}
