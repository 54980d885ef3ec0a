package access

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

// A token tells who its holder is, for a short time. It is signed with a private key that never leaves
// its holder; a site keeps public keys alone. Rights are not in it: they are looked up when it is used.

const (
	audience = "dewlift"
	// MostLife is the longest time that a token is accepted for: a key that was lost is of use no longer
	// than its revocation takes, a token that was lost no longer than this.
	MaxTokenLifetime = 12 * time.Hour
	maxTokenBytes    = 2 << 10 // bytes
)

// PrivateKey is a private key as its holder keeps it, in a file that nobody else can read.
type PrivateKey struct {
	Holder string `json:"holder"`
	ID     string `json:"id"`
	Seed   []byte `json:"ed25519_seed"`
}

// NewKey makes a key for an identity.
func NewKey(holder, id string) (*PrivateKey, error) {
	if !validName.MatchString(holder) || !validName.MatchString(id) {
		return nil, fmt.Errorf("holder %q or key id %q is no name", holder, id)
	}
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key: %w", err)
	}
	return &PrivateKey{Holder: holder, ID: id, Seed: key.Seed()}, nil
}

// ParsePrivateKey reads a private key.
func ParsePrivateKey(raw []byte) (*PrivateKey, error) {
	var k PrivateKey
	if err := json.Unmarshal(raw, &k); err != nil {
		return nil, fmt.Errorf("not a private key: %w", err)
	}
	if len(k.Seed) != ed25519.SeedSize || !validName.MatchString(k.Holder) || !validName.MatchString(k.ID) {
		return nil, errors.New("not a private key: a field is missing or of the wrong size")
	}
	return &k, nil
}

// PublicBase64 is the public half, in base64.
func (k *PrivateKey) PublicBase64() string {
	return base64.StdEncoding.EncodeToString(ed25519.NewKeyFromSeed(k.Seed).Public().(ed25519.PublicKey))
}

// SignToken signs a token that is good from now on for a time.
func (k *PrivateKey) SignToken(now time.Time, lifetime time.Duration) (string, error) {
	if lifetime <= 0 || lifetime > MaxTokenLifetime {
		return "", fmt.Errorf("a token lives more than 0 and at most %v", MaxTokenLifetime)
	}
	t := jwt.NewWithClaims(jwt.SigningMethodEdDSA, jwt.RegisteredClaims{
		Subject: k.Holder, Audience: jwt.ClaimStrings{audience},
		IssuedAt: jwt.NewNumericDate(
			now,
		), NotBefore: jwt.NewNumericDate(now), ExpiresAt: jwt.NewNumericDate(now.Add(lifetime)),
	})
	t.Header["kid"] = k.ID
	out, err := t.SignedString(ed25519.NewKeyFromSeed(k.Seed))
	if err != nil {
		return "", fmt.Errorf("sign token: %w", err)
	}
	return out, nil
}

// ErrInvalidToken tells that a token is not good; why is for the log and says nothing of who exists.
var ErrInvalidToken = errors.New("token not accepted")

// PeekKey is the id of the key that a token says it was signed with; nothing about it is checked.
func PeekKey(token string) (string, bool) {
	if len(token) > maxTokenBytes {
		return "", false
	}
	head, _, ok := strings.Cut(token, ".")
	raw, err := base64.RawURLEncoding.DecodeString(head)
	var h struct {
		Kid string `json:"kid"`
	}
	if !ok || err != nil || json.Unmarshal(raw, &h) != nil {
		return "", false
	}
	return h.Kid, h.Kid != ""
}

// VerifyToken tells whose token it is, which key signed it, and until when it is good. now is the
// time of day, which is right within bound here, and at whoever signed.
func (p *Policy) VerifyToken(token string, now time.Time, clockError time.Duration) (*Key, time.Time, error) {
	if len(token) > maxTokenBytes {
		return nil, now, fmt.Errorf("%w: too long", ErrInvalidToken)
	}
	var key *Key
	var claims jwt.RegisteredClaims
	_, err := jwt.ParseWithClaims(token, &claims, func(t *jwt.Token) (any, error) {
		id, _ := t.Header["kid"].(string)
		k, ok := p.keys[id]
		if !ok {
			return nil, errors.New("unknown key")
		}
		key = k
		return k.Public, nil
	}, jwt.WithValidMethods([]string{
		jwt.SigningMethodEdDSA.Alg(),
	}), jwt.WithAudience(audience), jwt.WithExpirationRequired(),
		jwt.WithIssuedAt(), jwt.WithLeeway(2*clockError), jwt.WithTimeFunc(func() time.Time { return now }))
	switch {
	case err != nil:
		return nil, now, fmt.Errorf("%w: %w", ErrInvalidToken, err)
	case claims.Subject != key.Holder:
		return nil, now, fmt.Errorf("%w: its key is another's", ErrInvalidToken)
	case claims.IssuedAt == nil || claims.ExpiresAt.Sub(claims.IssuedAt.Time) > MaxTokenLifetime:
		return nil, now, fmt.Errorf("%w: it lives too long", ErrInvalidToken)
	}
	return key, claims.ExpiresAt.Time, nil
}
