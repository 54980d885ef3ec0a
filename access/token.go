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

// A token authenticates its holder for a limited time. It is signed with a private key that never leaves the
// holder; a cluster knows only public keys. A token does not contain permissions: they are looked up when it is
// used.

const (
	audience = "dewlift"
	// MaxTokenLifetime is the longest accepted lifetime of a token, and so bounds the use of a stolen token. A
	// stolen key can be used until it is revoked.
	MaxTokenLifetime = 12 * time.Hour
	maxTokenBytes    = 2 << 10
)

// PrivateKey is a private key as its holder stores it, in a file that no other user can read.
type PrivateKey struct {
	Holder string `json:"holder"`
	ID     string `json:"id"`
	Seed   []byte `json:"ed25519_seed"`
}

// NewKey generates a key for an identity.
func NewKey(holder, id string) (*PrivateKey, error) {
	if !validName.MatchString(holder) || !validName.MatchString(id) {
		return nil, fmt.Errorf("holder %q or key id %q is no name", holder, id)
	}
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	return &PrivateKey{Holder: holder, ID: id, Seed: key.Seed()}, nil
}

// ParsePrivateKey parses a private key from the JSON form of its file.
func ParsePrivateKey(raw []byte) (*PrivateKey, error) {
	var key PrivateKey
	if err := json.Unmarshal(raw, &key); err != nil {
		return nil, fmt.Errorf("not a private key: %w", err)
	}
	if len(key.Seed) != ed25519.SeedSize || !validName.MatchString(key.Holder) || !validName.MatchString(key.ID) {
		return nil, errors.New("not a private key: a field is missing or of the wrong size")
	}
	return &key, nil
}

// PublicBase64 returns the public key in base64.
func (k *PrivateKey) PublicBase64() string {
	return base64.StdEncoding.EncodeToString(ed25519.NewKeyFromSeed(k.Seed).Public().(ed25519.PublicKey))
}

// SignToken returns a signed token that is valid from now on for the given lifetime.
func (k *PrivateKey) SignToken(now time.Time, lifetime time.Duration) (string, error) {
	if lifetime <= 0 || lifetime > MaxTokenLifetime {
		return "", fmt.Errorf("the lifetime of a token must be more than 0 and at most %v", MaxTokenLifetime)
	}
	token := jwt.NewWithClaims(jwt.SigningMethodEdDSA, jwt.RegisteredClaims{
		Subject:   k.Holder,
		Audience:  jwt.ClaimStrings{audience},
		IssuedAt:  jwt.NewNumericDate(now),
		NotBefore: jwt.NewNumericDate(now),
		ExpiresAt: jwt.NewNumericDate(now.Add(lifetime)),
	})
	token.Header["kid"] = k.ID
	signed, err := token.SignedString(ed25519.NewKeyFromSeed(k.Seed))
	if err != nil {
		return "", fmt.Errorf("sign token: %w", err)
	}
	return signed, nil
}

// ErrInvalidToken is wrapped by the errors of VerifyToken. A client gets just the text of ErrInvalidToken, not that of
// the wrapping error, which tells why the token is invalid.
var ErrInvalidToken = errors.New("token not accepted")

// PeekKeyID returns the ID of the key that a token claims to be signed with. It verifies nothing.
func PeekKeyID(token string) (string, bool) {
	if len(token) > maxTokenBytes {
		return "", false
	}
	encoded, _, ok := strings.Cut(token, ".")
	raw, err := base64.RawURLEncoding.DecodeString(encoded)
	var header struct {
		KeyID string `json:"kid"`
	}
	if !ok || err != nil || json.Unmarshal(raw, &header) != nil {
		return "", false
	}
	return header.KeyID, header.KeyID != ""
}

// VerifyToken verifies a token and returns the key that signed it and its expiry. clockError bounds the error of
// now and also that of the signer's clock, so twice that much is tolerated.
func (p *Policy) VerifyToken(token string, now time.Time, clockError time.Duration) (*Key, time.Time, error) {
	if len(token) > maxTokenBytes {
		return nil, now, fmt.Errorf("%w: too long", ErrInvalidToken)
	}
	var key *Key
	var claims jwt.RegisteredClaims
	findKey := func(unverified *jwt.Token) (any, error) {
		id, _ := unverified.Header["kid"].(string)
		known, ok := p.keys[id]
		if !ok {
			return nil, errors.New("unknown key")
		}
		key = known
		return known.Public, nil
	}
	_, err := jwt.ParseWithClaims(token, &claims, findKey,
		jwt.WithValidMethods([]string{jwt.SigningMethodEdDSA.Alg()}),
		jwt.WithAudience(audience),
		jwt.WithExpirationRequired(),
		jwt.WithIssuedAt(),
		jwt.WithLeeway(2*clockError),
		jwt.WithTimeFunc(func() time.Time { return now }))
	switch {
	case err != nil:
		return nil, now, fmt.Errorf("%w: %w", ErrInvalidToken, err)
	case claims.Subject != key.Holder:
		return nil, now, fmt.Errorf("%w: key belongs to another identity", ErrInvalidToken)
	case claims.IssuedAt == nil || claims.ExpiresAt.Sub(claims.IssuedAt.Time) > MaxTokenLifetime:
		return nil, now, fmt.Errorf("%w: lifetime too long", ErrInvalidToken)
	}
	return key, claims.ExpiresAt.Time, nil
}
