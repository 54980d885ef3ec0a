// Package audit is the record of who did what and what was refused. Each controller has a chain of
// blocks of its own, which are never rewritten; a code under a key that the state service does not hold
// ties each entry to all before it. The package decides how entries are carried, chained, gathered, checked and
// found; it does no I/O.
package audit

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
)

// Key is a secret with which entries are signed.
type Key []byte

const keyBytes = 32

// NewKey makes a key, as a line of its file.
func NewKey() (string, error) {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", fmt.Errorf("new key: %w", err)
	}
	return base64.StdEncoding.EncodeToString(raw) + "\n", nil
}

// ParseKey reads what NewKey gives.
func ParseKey(text string) (Key, error) {
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil || len(raw) < keyBytes {
		return nil, errors.New("not a key: want 32 bytes in base64, as `dewlift audit key` writes them")
	}
	return raw, nil
}

// ID names a key without telling it.
func (k Key) ID() []byte { return k.mac([]byte("dewlift audit key"))[:8] }

// mac is the HMAC-SHA256 of parts, each of which is preceded by its length: no two lists of parts have the
// same code by being cut otherwise.
func (k Key) mac(parts ...[]byte) []byte {
	h := hmac.New(sha256.New, k)
	for _, p := range parts {
		var n [8]byte
		for i, v := 7, len(p); i >= 0; i, v = i-1, v>>8 {
			n[i] = byte(v)
		}
		h.Write(n[:])
		h.Write(p)
	}
	return h.Sum(nil)
}
