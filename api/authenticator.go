package api

import (
	"dewlift/access"
	"dewlift/core"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

// authenticator tells from tokens who asks. What it costs is bounded: a token of an unknown key
// costs no signature, one that was accepted before is remembered, and each key has its own share of
// signatures, so that a flood in one name slows nobody else.
type authenticator struct {
	policy          atomic.Pointer[access.Policy] // nil: no rights are in force
	clockErrorBound time.Duration                 // of the time of day
	verifiedTokens  *lru.Cache[string, verifiedToken]
	mu              sync.Mutex
	verifyLimiters  map[string]*rate.Limiter // by key
}

type verifiedToken struct {
	key        *access.Key
	validUntil time.Time
}

const (
	maxVerifiedTokens      = 4096
	verificationsPerSecond = 20 // a second and key; the burst is as much
)

func newAuthenticator(bound time.Duration) *authenticator {
	known, err := lru.New[string, verifiedToken](maxVerifiedTokens)
	if err != nil {
		panic(err) // the size is a constant
	}
	return &authenticator{clockErrorBound: bound, verifiedTokens: known, verifyLimiters: map[string]*rate.Limiter{}}
}

// setPolicy puts rights in force; keys that are gone are forgotten.
func (g *authenticator) setPolicy(p *access.Policy) {
	g.policy.Store(p)
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.verifyLimiters)
}

// authenticate tells who sent a request, by a certificate that was verified or a token; a status
// other than 0 refuses it.
func (g *authenticator) authenticate(
	header, certificate string,
	now time.Time,
) (cr core.Credential, status int, why string) {
	p := g.policy.Load()
	if p == nil {
		return core.Credential{}, 0, ""
	}
	if header == "" && certificate != "" {
		if p.AllowsCertificate(certificate) {
			return core.Credential{Identity: certificate, KeyID: access.CertificateKey}, 0, ""
		}
		return cr, fiber.StatusUnauthorized, "the certificate is nobody's"
	}
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return cr, fiber.StatusUnauthorized, "a token is needed"
	}
	if a, ok := g.verifiedTokens.Get(token); ok {
		if k, there := p.Key(a.key.ID); there && k.Holder == a.key.Holder && k.Public.Equal(a.key.Public) &&
			now.Before(a.validUntil) {
			return core.Credential{Identity: k.Holder, KeyID: k.ID}, 0, ""
		}
		g.verifiedTokens.Remove(token)
	}
	id, ok := access.PeekKey(token)
	if _, there := p.Key(id); !ok || !there {
		return cr, fiber.StatusUnauthorized, access.ErrInvalidToken.Error()
	}
	if !g.allowVerification(id, now) {
		return cr, fiber.StatusTooManyRequests, "too many tokens of this key"
	}
	k, until, err := p.VerifyToken(token, now, g.clockErrorBound)
	if err != nil {
		return cr, fiber.StatusUnauthorized, access.ErrInvalidToken.Error()
	}
	g.verifiedTokens.Add(token, verifiedToken{k, until})
	return core.Credential{Identity: k.Holder, KeyID: k.ID}, 0, ""
}

func (g *authenticator) allowVerification(key string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.verifyLimiters[key]
	if l == nil {
		l = rate.NewLimiter(verificationsPerSecond, verificationsPerSecond)
		g.verifyLimiters[key] = l
	}
	return l.AllowN(now, 1)
}
