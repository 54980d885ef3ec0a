package api

import (
	"crypto/sha256"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"dewlift/access"
	"dewlift/core"
)

// authenticator identifies callers by tokens and certificates. Its cost is bounded: a token with an
// unknown key is rejected without verification, verified tokens are cached, and each key has its own rate
// limit of verifications, so that a flood of tokens for one key does not slow down other callers.
type authenticator struct {
	policy          atomic.Pointer[access.Policy] // nil means that requests are not authenticated
	clockErrorBound time.Duration
	verifiedTokens  *lru.Cache[tokenDigest, verifiedToken]
	mu              sync.Mutex               // guards verifyLimiters
	verifyLimiters  map[string]*rate.Limiter // by key id
}

// tokenDigest identifies a token in the cache. It is a value of its own, so no later request can change it, and it
// keeps valid tokens out of the process's memory.
type tokenDigest [sha256.Size]byte

func digestToken(token string) tokenDigest { return sha256.Sum256([]byte(token)) }

type verifiedToken struct {
	key        *access.Key
	validUntil time.Time
}

const (
	maxVerifiedTokens      = 4096
	verificationsPerSecond = 20 // per key; also the burst size
)

func newAuthenticator(clockErrorBound time.Duration) *authenticator {
	tokens, err := lru.New[tokenDigest, verifiedToken](maxVerifiedTokens)
	if err != nil {
		panic(err) // unreachable: the size is a positive constant
	}
	return &authenticator{
		clockErrorBound: clockErrorBound,
		verifiedTokens:  tokens,
		verifyLimiters:  map[string]*rate.Limiter{},
	}
}

// setPolicy sets the policy. It drops all rate limiters, as the new policy may lack some of the keys.
func (a *authenticator) setPolicy(policy *access.Policy) {
	a.policy.Store(policy)
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.verifyLimiters)
}

// authenticate identifies the caller by the authorization header or, without one, by the common name of a
// verified certificate. A status other than 0 means that the request is denied for the returned reason.
func (a *authenticator) authenticate(
	header, certificate string,
	now time.Time,
) (caller core.Credential, status int, reason string) {
	policy := a.policy.Load()
	if policy == nil {
		return core.Credential{}, 0, ""
	}
	if header == "" && certificate != "" {
		if policy.AllowsCertificate(certificate) {
			return core.Credential{Identity: certificate, KeyID: access.CertificateKey}, 0, ""
		}
		return core.Credential{}, fiber.StatusUnauthorized, "the certificate is nobody's"
	}
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return core.Credential{}, fiber.StatusUnauthorized, "a token is needed"
	}
	digest := digestToken(token)
	if key := a.cachedKey(policy, digest, now); key != nil {
		return core.Credential{Identity: key.Holder, KeyID: key.ID}, 0, ""
	}
	return a.verifyToken(policy, token, digest, now)
}

// cachedKey returns the key of a token that was verified before. It returns nil if the token is not cached,
// has expired, or was signed with a key that has since been removed or replaced.
func (a *authenticator) cachedKey(policy *access.Policy, digest tokenDigest, now time.Time) *access.Key {
	verified, ok := a.verifiedTokens.Get(digest)
	if !ok {
		return nil
	}
	key, exists := policy.Key(verified.key.ID)
	if exists && key.Holder == verified.key.Holder && key.Public.Equal(verified.key.Public) &&
		now.Before(verified.validUntil) {
		return key
	}
	a.verifiedTokens.Remove(digest)
	return nil
}

// verifyToken verifies a token's signature and validity period, within the rate limit of its key, and caches the
// result under the token's digest.
func (a *authenticator) verifyToken(
	policy *access.Policy,
	token string,
	digest tokenDigest,
	now time.Time,
) (caller core.Credential, status int, reason string) {
	id, ok := access.PeekKeyID(token)
	if _, exists := policy.Key(id); !ok || !exists {
		return core.Credential{}, fiber.StatusUnauthorized, access.ErrInvalidToken.Error()
	}
	if !a.allowVerification(id, now) {
		return core.Credential{}, fiber.StatusTooManyRequests, "too many tokens of this key"
	}
	key, validUntil, err := policy.VerifyToken(token, now, a.clockErrorBound)
	if err != nil {
		return core.Credential{}, fiber.StatusUnauthorized, access.ErrInvalidToken.Error()
	}
	a.verifiedTokens.Add(digest, verifiedToken{key, validUntil})
	return core.Credential{Identity: key.Holder, KeyID: key.ID}, 0, ""
}

// allowVerification reports whether the rate limit of a key allows another verification.
func (a *authenticator) allowVerification(keyID string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	limiter := a.verifyLimiters[keyID]
	if limiter == nil {
		limiter = rate.NewLimiter(verificationsPerSecond, verificationsPerSecond)
		a.verifyLimiters[keyID] = limiter
	}
	return limiter.AllowN(now, 1)
}
