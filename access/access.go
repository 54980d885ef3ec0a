// Package access decides who may do what. It is pure: it reads no file, asks nobody and knows no clock;
// the same rights and the same act always give the same decision, with the grant that made it.
package access

import (
	"crypto/ed25519"
	"dewlift/wire"
	"encoding/base64"
	"errors"
	"fmt"
	"regexp"
	"slices"

	"google.golang.org/protobuf/encoding/prototext"

	pb "dewlift/proto"
)

// Verb is what somebody wants to do.
type Verb = pb.Verb

// AnyGroup is the team or class that stands for all of them.
const AnyGroup = "*"

// limits of an access file, so that its rights fit memory and a listing
const (
	maxIdentities      = 10_000
	maxRoles           = 1_000
	maxGrantsPerRole   = 100 // of a role
	maxKeysPerIdentity = 10  // of an identity: the old and the new one while a key is rotated, and a few
)

// Action is what somebody wants to do; Team and Class are those of the job, if it is about one. Priority counts for
// submissions: 0 is the most important.
type Action struct {
	Verb     Verb
	Team     string
	Class    string
	Priority int
}

// Decision tells whether an act is allowed, and by which grant.
type Decision struct {
	Allowed     bool   `json:"allowed"`
	Role        string `json:"role,omitempty"`  // whose grant decides
	GrantNumber int    `json:"grant,omitempty"` // its place there, from 1
	Reason      string `json:"why"`
}

// Policy is a site's rights, checked. It never changes.
type Policy struct {
	source     *pb.Access
	roles      map[string]*role
	identities map[string]*identity
	keys       map[string]*Key
}

type role struct {
	name   string
	grants []grant
}

type grant struct {
	verbs           map[Verb]bool
	teams           map[string]bool
	classes         map[string]bool
	highestPriority int
}

type identity struct {
	name              string
	allowsCertificate bool
	roles             []*role
}

// Key is a key that may sign for an identity.
type Key struct {
	ID     string
	Holder string
	Public ed25519.PublicKey
}

var validName = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._@-]{0,79}$`)

// Parse reads rights in protobuf text format. An error is one line and names the place.
func Parse(text []byte) (*Policy, error) {
	var a pb.Access
	if err := prototext.Unmarshal(text, &a); err != nil {
		return nil, err
	}
	return New(&a)
}

// New checks rights.
func New(a *pb.Access) (*Policy, error) {
	p := &Policy{source: a, roles: map[string]*role{}, identities: map[string]*identity{}, keys: map[string]*Key{}}
	if len(a.Roles) > maxRoles || len(a.Identities) > maxIdentities {
		return nil, fmt.Errorf(
			"%d roles and %d identities, at most %d and %d are allowed",
			len(a.Roles),
			len(a.Identities),
			maxRoles,
			maxIdentities,
		)
	}
	for i, r := range a.Roles {
		if err := p.addRole(r); err != nil {
			return nil, fmt.Errorf("roles[%d]%w", i, err)
		}
	}
	for i, x := range a.Identities {
		if err := p.addIdentity(x); err != nil {
			return nil, fmt.Errorf("identities[%d]%w", i, err)
		}
	}
	return p, nil
}

func (p *Policy) addRole(r *pb.Role) error {
	if !validName.MatchString(r.Name) || p.roles[r.Name] != nil {
		return fmt.Errorf(".name: %q is no name, or used twice", r.Name)
	}
	if len(r.Grants) == 0 || len(r.Grants) > maxGrantsPerRole {
		return fmt.Errorf(" (%s).grants: %d of them, must be from 1 to %d", r.Name, len(r.Grants), maxGrantsPerRole)
	}
	out := &role{name: r.Name}
	for i, g := range r.Grants {
		x, err := newGrant(g)
		if err != nil {
			return fmt.Errorf(" (%s).grants[%d]%w", r.Name, i, err)
		}
		out.grants = append(out.grants, x)
	}
	p.roles[r.Name] = out
	return nil
}

func newGrant(g *pb.Grant) (grant, error) {
	out := grant{
		verbs:           map[Verb]bool{},
		teams:           map[string]bool{},
		classes:         map[string]bool{},
		highestPriority: wire.PriorityStandard,
	}
	about := false
	if len(g.Verbs) == 0 {
		return out, errors.New(".verbs: there are none")
	}
	for i, v := range g.Verbs {
		if pb.Verb_name[int32(v)] == "" || v == pb.Verb_none {
			return out, fmt.Errorf(".verbs[%d]: unknown verb", i)
		}
		out.verbs[v] = true
		about = about || isJobVerb(v)
	}
	for _, l := range []struct {
		field string
		names []string
		into  map[string]bool
	}{{"teams", g.Teams, out.teams}, {"classes", g.Classes, out.classes}} {
		if about && len(l.names) == 0 {
			return out, fmt.Errorf(".%s: there are none; %q stands for all", l.field, AnyGroup)
		}
		for i, s := range l.names {
			if s == "" || len(s) > 200 || l.into[s] {
				return out, fmt.Errorf(".%s[%d]: empty, too long or used twice", l.field, i)
			}
			l.into[s] = true
		}
	}
	if out.verbs[pb.Verb_prioritise] != (g.UpTo != "") {
		return out, errors.New(".up_to: goes with prioritise, and only with it")
	}
	if g.UpTo != "" {
		var ok bool
		if out.highestPriority, ok = wire.Priority(g.UpTo); !ok {
			return out, fmt.Errorf(".up_to: no priority %q", g.UpTo)
		}
	}
	return out, nil
}

func (p *Policy) addIdentity(x *pb.Identity) error {
	if !validName.MatchString(x.Name) || p.identities[x.Name] != nil {
		return fmt.Errorf(".name: %q is no name, or used twice", x.Name)
	}
	out := &identity{name: x.Name, allowsCertificate: x.Certificate}
	for i, r := range x.Roles {
		have := p.roles[r]
		if have == nil || slices.Contains(out.roles, have) {
			return fmt.Errorf(" (%s).roles[%d]: no role %q, or used twice", x.Name, i, r)
		}
		out.roles = append(out.roles, have)
	}
	if len(x.Keys) > maxKeysPerIdentity {
		return fmt.Errorf(" (%s).keys: %d of them, at most %d are allowed", x.Name, len(x.Keys), maxKeysPerIdentity)
	}
	for i, k := range x.Keys {
		raw, err := base64.StdEncoding.DecodeString(k.Ed25519)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return fmt.Errorf(" (%s).keys[%d].ed25519: not %d bytes in base64", x.Name, i, ed25519.PublicKeySize)
		}
		if !validName.MatchString(k.Id) || k.Id == CertificateKey || p.keys[k.Id] != nil {
			return fmt.Errorf(" (%s).keys[%d].id: %q is no name, or used twice", x.Name, i, k.Id)
		}
		p.keys[k.Id] = &Key{ID: k.Id, Holder: x.Name, Public: raw}
	}
	p.identities[x.Name] = out
	return nil
}

// isJobVerb reports whether a verb is about jobs, and so bound to teams and classes.
func isJobVerb(v Verb) bool {
	return v != pb.Verb_administer && v != pb.Verb_audit && v != pb.Verb_report && v != pb.Verb_equip
}

// AgentsMustSign reports whether workers' reports need a token.
func (p *Policy) AgentsMustSign() bool { return p.source.WorkersSign }

// Format renders rights in protobuf text format, as Parse reads them.
func Format(a *pb.Access) string {
	return prototext.MarshalOptions{Multiline: true, Indent: "  "}.Format(a)
}

// Source is the rights as they were given; they must not be changed.
func (p *Policy) Source() *pb.Access { return p.source }

// HasIdentity reports whether there is an identity of that name.
func (p *Policy) HasIdentity(identityName string) bool { return p.identities[identityName] != nil }

// HasAdministrator reports whether somebody may change rights and has a key to prove it.
func (p *Policy) HasAdministrator() bool {
	for _, k := range p.keys {
		if p.Decide(k.Holder, Action{Verb: pb.Verb_administer}).Allowed {
			return true
		}
	}
	return false
}

// ParseVerb is the verb of a name.
func ParseVerb(s string) (Verb, bool) {
	v, ok := pb.Verb_value[s]
	return Verb(v), ok && v != 0
}

// Key is the key with an id.
func (p *Policy) Key(id string) (*Key, bool) {
	k, ok := p.keys[id]
	return k, ok
}

// CertificateKey stands for a certificate where a key is named.
const CertificateKey = "certificate"

// AllowsCertificate reports whether an identity may prove who it is by a certificate.
func (p *Policy) AllowsCertificate(identityName string) bool {
	x := p.identities[identityName]
	return x != nil && x.allowsCertificate
}

// KeyBelongsTo reports whether a key, or a certificate, is good for an identity.
func (p *Policy) KeyBelongsTo(identityName, key string) bool {
	if key == CertificateKey {
		return p.AllowsCertificate(identityName)
	}
	k, ok := p.keys[key]
	return ok && k.Holder == identityName
}

// Counts tells how many roles, identities and keys there are.
func (p *Policy) Counts() (roles, identities, keys int) {
	return len(p.roles), len(p.identities), len(p.keys)
}

// Decide tells whether somebody may do something. The first grant that covers it decides; none: it is
// refused. Above standard priority a submission needs both: to submit, and to prioritise as far.
func (p *Policy) Decide(identityName string, a Action) Decision {
	x := p.identities[identityName]
	if x == nil {
		return Decision{Reason: "nobody of that name"}
	}
	d := p.findGrant(x, a)
	if !d.Allowed || a.Verb != pb.Verb_submit || a.Priority >= wire.PriorityStandard {
		return d
	}
	a.Verb = pb.Verb_prioritise
	return p.findGrant(x, a)
}

func (p *Policy) findGrant(x *identity, a Action) Decision {
	near := "no grant of " + a.Verb.String()
	for _, r := range x.roles {
		for i, g := range r.grants {
			if !g.verbs[a.Verb] {
				continue
			}
			if isJobVerb(a.Verb) && !(matches(g.teams, a.Team) && matches(g.classes, a.Class)) {
				near = fmt.Sprintf("no grant of %s covers team %q and class %q", a.Verb, a.Team, a.Class)
				continue
			}
			if a.Verb == pb.Verb_prioritise && a.Priority < g.highestPriority {
				near = fmt.Sprintf("prioritise goes up to %s only", wire.PriorityName(g.highestPriority))
				continue
			}
			return Decision{
				Allowed:     true,
				Role:        r.name,
				GrantNumber: i + 1,
				Reason:      fmt.Sprintf("role %s, grant %d", r.name, i+1),
			}
		}
	}
	return Decision{Reason: near}
}

func matches(set map[string]bool, s string) bool { return set[AnyGroup] || s != "" && set[s] }
