// Package compress compresses small values and bounds their size when it decompresses them.
package compress

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrTooLarge is the error for a value that is larger than allowed when it is decompressed.
var ErrTooLarge = errors.New("decompressed value is too large")

// flateWriters holds writers for reuse.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestCompression)
	if err != nil {
		panic(err) // unreachable: the level is a valid constant
	}
	return w
}}

// Deflate compresses raw.
func Deflate(raw []byte) ([]byte, error) {
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	var compressed bytes.Buffer
	w.Reset(&compressed)
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return compressed.Bytes(), nil
}

// Inflate decompresses the output of Deflate. It returns ErrTooLarge if the result exceeds maxBytes.
func Inflate(raw []byte, maxBytes int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), int64(maxBytes)+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(out) > maxBytes {
		return nil, ErrTooLarge
	}
	return out, nil
}
