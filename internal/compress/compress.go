// Package compress compresses small values, and bounds what they expand to.
package compress

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrTooLarge tells that a value expands to more than its reader allows.
var ErrTooLarge = errors.New("expands to too much")

var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestCompression)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// Deflate compresses raw.
func Deflate(raw []byte) ([]byte, error) {
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	var b bytes.Buffer
	w.Reset(&b)
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return b.Bytes(), nil
}

// Inflate is the reverse of Deflate; it fails with ErrTooLarge beyond most bytes.
func Inflate(raw []byte, maxBytes int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), int64(maxBytes)+1))
	if err != nil {
		return nil, fmt.Errorf("expand: %w", err)
	}
	if len(out) > maxBytes {
		return nil, ErrTooLarge
	}
	return out, nil
}
