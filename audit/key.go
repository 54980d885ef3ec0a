// Package audit defines the audit log, which records who did what and what was denied. Each controller appends to
// its own chain of blocks, which are never rewritten. A MAC chains each entry to all earlier ones; its key is not
// in the key-value store. The package signs, chains, aggregates, verifies and filters entries. It does no I/O.
package audit

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// Key is the secret key with which entries are signed.
type Key []byte

const (
	keyBytes   = 32 // at least: the size of a SHA-256 hash
	keyIDBytes = 8
)

// NewKey returns a random key as the line of a key file.
func NewKey() (string, error) {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", fmt.Errorf("generate key: %w", err)
	}
	return base64.StdEncoding.EncodeToString(raw) + "\n", nil
}

// ParseKey parses the content of a key file.
func ParseKey(text string) (Key, error) {
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil || len(raw) < keyBytes {
		return nil, errors.New("not a key: want 32 bytes in base64, as `dewlift audit key` writes them")
	}
	return raw, nil
}

// ID identifies a key without revealing it.
func (k Key) ID() []byte { return k.mac([]byte("dewlift audit key"))[:keyIDBytes] }

// mac returns the HMAC-SHA256 of the parts. Each part is preceded by its length, so that different lists of parts
// never yield the same input.
func (k Key) mac(parts ...[]byte) []byte {
	hash := hmac.New(sha256.New, k)
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return hash.Sum(nil)
}
