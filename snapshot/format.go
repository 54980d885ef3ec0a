// Package snapshot saves the whole state of a site to a file, as of one revision and while the site
// serves, checks such files, and restores one to an empty state service.
//
// A file is the line of Magic, then parts (proto/history.proto), each preceded by its length as a
// varint. The last part is the trailer: how many parts and keys there are, the revision, the time, and a
// digest of all digests. Keys are in order.
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
	// Magic begins a file.
	Magic = "dewlift snapshot\n"
	// Version is the newest version of the format that is written and read.
	FormatVersion = 1

	fullPartBytes = 256 << 10 // of keys, before compression, from which a part is full
	maxPartBytes  = 16 << 20  // bytes of a part that are read, before and after decompression
)

// Writer writes a snapshot.
type Writer struct {
	out          io.Writer
	encoder      *zstd.Encoder
	pendingKeys  pb.Keys
	pendingBytes int
	digestSum    hash.Hash
	trailer      pb.Trailer
}

// NewWriter begins a snapshot.
func NewWriter(w io.Writer) (*Writer, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if _, err := io.WriteString(w, Magic); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return &Writer{out: w, encoder: enc, digestSum: sha256.New(), trailer: pb.Trailer{Version: FormatVersion}}, nil
}

// Add writes a key; keys come in order.
func (w *Writer) Add(k *pb.Key) error {
	w.pendingKeys.Keys = append(w.pendingKeys.Keys, k)
	w.trailer.Keys++
	if w.pendingBytes += len(k.Name) + len(k.Value) + 16; w.pendingBytes < fullPartBytes {
		return nil
	}
	return w.flush()
}

func (w *Writer) flush() error {
	if len(w.pendingKeys.Keys) == 0 {
		return nil
	}
	w.trailer.Parts++
	err := w.writePart(w.trailer.Parts, &w.pendingKeys, false)
	w.pendingKeys.Keys, w.pendingBytes = nil, 0
	return err
}

func (w *Writer) writePart(number uint32, m protobuf.Message, last bool) error {
	raw, err := protobuf.Marshal(m)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	data := w.encoder.EncodeAll(raw, nil)
	p := &pb.Part{Number: number, Digest: partDigest(number, data), Keys: data}
	if last {
		p.Keys, p.Trailer = nil, data
	}
	w.digestSum.Write(p.Digest)
	if _, err := protodelim.MarshalTo(w.out, p); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// Close writes the trailer: the revision that the snapshot shows, and when it was taken.
func (w *Writer) Close(ledger uint64, taken time.Time) error {
	if err := w.flush(); err != nil {
		return err
	}
	w.trailer.Ledger, w.trailer.TakenMs, w.trailer.Digest = ledger, taken.UnixMilli(), w.digestSum.Sum(nil)
	return w.writePart(w.trailer.Parts+1, &w.trailer, true)
}

func partDigest(number uint32, data []byte) []byte {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint32(nil, number))
	h.Write(data)
	return h.Sum(nil)
}

// ErrDamaged tells that a file is not a whole snapshot.
var ErrDamaged = errors.New("damaged snapshot")

// Read reads a snapshot and calls f for each key, in order. Only when it returns without an error was
// the file whole; whatever f did before must not count until then. An error names the part.
func Read(r io.Reader, f func(*pb.Key) error) (*pb.Trailer, error) {
	in := bufio.NewReaderSize(r, 1<<16)
	magic := make([]byte, len(Magic))
	if _, err := io.ReadFull(in, magic); err != nil || string(magic) != Magic {
		return nil, fmt.Errorf("%w: it does not begin as one", ErrDamaged)
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPartBytes))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer dec.Close()
	sum, keys, last := sha256.New(), uint64(0), ""
	for n := uint32(1); ; n++ {
		var p pb.Part
		if err := (protodelim.UnmarshalOptions{MaxSize: maxPartBytes}).UnmarshalFrom(in, &p); err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil, fmt.Errorf("%w: it ends in part %d", ErrDamaged, n)
			}
			return nil, fmt.Errorf("%w: part %d: %w", ErrDamaged, n, err)
		}
		data := append(p.Keys, p.Trailer...) // one of them is empty
		if p.Number != n || !bytes.Equal(p.Digest, partDigest(n, data)) {
			return nil, fmt.Errorf("%w: part %d: its digest does not match", ErrDamaged, n)
		}
		raw, err := dec.DecodeAll(data, nil)
		if err != nil {
			return nil, fmt.Errorf("%w: part %d: %w", ErrDamaged, n, err)
		}
		if p.Trailer != nil {
			return readTrailer(in, raw, n, keys, sum.Sum(nil))
		}
		sum.Write(p.Digest)
		var list pb.Keys
		if err := protobuf.Unmarshal(raw, &list); err != nil {
			return nil, fmt.Errorf("%w: part %d: %w", ErrDamaged, n, err)
		}
		for _, k := range list.Keys {
			if k.Name <= last {
				return nil, fmt.Errorf("%w: part %d: keys are out of order", ErrDamaged, n)
			}
			last = k.Name
			keys++
			if err := f(k); err != nil {
				return nil, err
			}
		}
	}
}

func readTrailer(in *bufio.Reader, raw []byte, n uint32, keys uint64, sum []byte) (*pb.Trailer, error) {
	var t pb.Trailer
	err := protobuf.Unmarshal(raw, &t)
	if _, end := in.ReadByte(); err == nil && !errors.Is(end, io.EOF) {
		err = errors.New("something follows the last part")
	}
	switch {
	case err != nil:
	case t.Version > FormatVersion:
		return nil, fmt.Errorf("snapshot of format %d: this version reads up to %d", t.Version, FormatVersion)
	case t.Parts != n-1 || t.Keys != keys || !bytes.Equal(t.Digest, sum):
		err = errors.New("the trailer does not match the parts")
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return &t, nil
}
