// Package compress compresses small values, and bounds what they decompress to.
package compress

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrTooLarge is returned for a value that decompresses to more than its reader allows.
var ErrTooLarge = errors.New("expands to too much")

// flateWriters holds writers for reuse.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestCompression)
	if err != nil {
		panic(err) // impossible: the level is a constant
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

// Inflate reverses Deflate; it fails with ErrTooLarge beyond maxBytes.
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
