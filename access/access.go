// Package access authorizes actions by a policy of roles, grants and identities, and verifies tokens. It holds no
// state besides the policy, does no I/O and reads no clock: the same policy and the same action always give the
// same decision, which names the grant behind it.
package access

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"regexp"
	"slices"

	"google.golang.org/protobuf/encoding/prototext"

	pb "dewlift/proto"
	"dewlift/wire"
)

// Verb is the kind of an action.
type Verb = pb.Verb

// AnyGroup stands for all teams or classes in a grant.
const AnyGroup = "*"

// Limits that keep a policy small enough for memory and for a listing.
const (
	maxIdentities      = 10_000
	maxRoles           = 1_000
	maxGrantsPerRole   = 100
	maxKeysPerIdentity = 10  // a rotation needs two, the others are spare
	maxGroupNameBytes  = 200 // of a team or class
)

// Action is an action that an identity requests. Team and Class are those of the job, if the action concerns one.
// Priority matters for submissions only; 0 is the highest.
type Action struct {
	Verb     Verb
	Team     string
	Class    string
	Priority int
}

// Decision tells whether an action is allowed, and by which grant.
type Decision struct {
	Allowed     bool   `json:"allowed"`
	Role        string `json:"role,omitempty"`  // of the grant that allows it
	GrantNumber int    `json:"grant,omitempty"` // within the role, from 1
	Reason      string `json:"why"`
}

// Policy is a valid set of permissions of a cluster. It is immutable.
type Policy struct {
	source     *pb.Access
	roles      map[string]*role
	identities map[string]*identity
	keys       map[string]*Key
}

// role is a named list of grants.
type role struct {
	name   string
	grants []grant
}

// grant allows verbs for jobs of the given teams and classes.
type grant struct {
	verbs           map[Verb]bool
	teams           map[string]bool
	classes         map[string]bool
	highestPriority int // for pb.Verb_prioritise
}

// identity is a user, a service or an agent.
type identity struct {
	name              string
	allowsCertificate bool
	roles             []*role
}

// Key is a public key that verifies the tokens of an identity.
type Key struct {
	ID     string
	Holder string
	Public ed25519.PublicKey
}

var validName = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._@-]{0,79}$`)

// Parse reads a policy in protobuf text format. Its error is a single line and names the invalid field.
func Parse(text []byte) (*Policy, error) {
	var source pb.Access
	if err := prototext.Unmarshal(text, &source); err != nil {
		return nil, err
	}
	return New(&source)
}

// New validates a policy. Its error names the invalid field: each level of validation prepends its part of the path
// by wrapping.
func New(source *pb.Access) (*Policy, error) {
	p := &Policy{
		source:     source,
		roles:      map[string]*role{},
		identities: map[string]*identity{},
		keys:       map[string]*Key{},
	}
	if len(source.Roles) > maxRoles || len(source.Identities) > maxIdentities {
		return nil, fmt.Errorf("%d roles and %d identities, at most %d and %d are allowed",
			len(source.Roles), len(source.Identities), maxRoles, maxIdentities)
	}
	for i, r := range source.Roles {
		if err := p.addRole(r); err != nil {
			return nil, fmt.Errorf("roles[%d]%w", i, err)
		}
	}
	for i, id := range source.Identities {
		if err := p.addIdentity(id); err != nil {
			return nil, fmt.Errorf("identities[%d]%w", i, err)
		}
	}
	return p, nil
}

// addRole validates and adds a role.
func (p *Policy) addRole(source *pb.Role) error {
	if !validName.MatchString(source.Name) || p.roles[source.Name] != nil {
		return fmt.Errorf(".name: %q is no name, or used twice", source.Name)
	}
	if len(source.Grants) == 0 || len(source.Grants) > maxGrantsPerRole {
		return fmt.Errorf(" (%s).grants: %d of them, must be from 1 to %d",
			source.Name, len(source.Grants), maxGrantsPerRole)
	}
	added := &role{name: source.Name}
	for i, g := range source.Grants {
		checked, err := newGrant(g)
		if err != nil {
			return fmt.Errorf(" (%s).grants[%d]%w", source.Name, i, err)
		}
		added.grants = append(added.grants, checked)
	}
	p.roles[source.Name] = added
	return nil
}

// newGrant validates a grant.
func newGrant(source *pb.Grant) (grant, error) {
	checked := grant{verbs: map[Verb]bool{}, highestPriority: wire.PriorityStandard}
	if len(source.Verbs) == 0 {
		return checked, errors.New(".verbs: there are none")
	}
	needsGroups := false
	for i, verb := range source.Verbs {
		if pb.Verb_name[int32(verb)] == "" || verb == pb.Verb_none {
			return checked, fmt.Errorf(".verbs[%d]: unknown verb", i)
		}
		checked.verbs[verb] = true
		needsGroups = needsGroups || isJobVerb(verb)
	}
	var err error
	if checked.teams, err = newGroups("teams", source.Teams, needsGroups); err != nil {
		return checked, err
	}
	if checked.classes, err = newGroups("classes", source.Classes, needsGroups); err != nil {
		return checked, err
	}
	if checked.verbs[pb.Verb_prioritise] != (source.UpTo != "") {
		return checked, errors.New(".up_to: goes with prioritise, and only with it")
	}
	if source.UpTo != "" {
		var ok bool
		if checked.highestPriority, ok = wire.Priority(source.UpTo); !ok {
			return checked, fmt.Errorf(".up_to: no priority %q", source.UpTo)
		}
	}
	return checked, nil
}

// newGroups validates the teams or classes of a grant.
func newGroups(field string, names []string, required bool) (map[string]bool, error) {
	if required && len(names) == 0 {
		return nil, fmt.Errorf(".%s: there are none; %q stands for all", field, AnyGroup)
	}
	groups := map[string]bool{}
	for i, name := range names {
		if name == "" || len(name) > maxGroupNameBytes || groups[name] {
			return nil, fmt.Errorf(".%s[%d]: empty, too long or used twice", field, i)
		}
		groups[name] = true
	}
	return groups, nil
}

// addIdentity validates and adds an identity and its keys.
func (p *Policy) addIdentity(source *pb.Identity) error {
	if !validName.MatchString(source.Name) || p.identities[source.Name] != nil {
		return fmt.Errorf(".name: %q is no name, or used twice", source.Name)
	}
	added := &identity{name: source.Name, allowsCertificate: source.Certificate}
	for i, name := range source.Roles {
		assigned := p.roles[name]
		if assigned == nil || slices.Contains(added.roles, assigned) {
			return fmt.Errorf(" (%s).roles[%d]: no role %q, or used twice", source.Name, i, name)
		}
		added.roles = append(added.roles, assigned)
	}
	if len(source.Keys) > maxKeysPerIdentity {
		return fmt.Errorf(" (%s).keys: %d of them, at most %d are allowed",
			source.Name, len(source.Keys), maxKeysPerIdentity)
	}
	for i, key := range source.Keys {
		if err := p.addKey(source.Name, key); err != nil {
			return fmt.Errorf(" (%s).keys[%d]%w", source.Name, i, err)
		}
	}
	p.identities[source.Name] = added
	return nil
}

// addKey validates and adds a key of an identity.
func (p *Policy) addKey(holder string, source *pb.PublicKey) error {
	raw, err := base64.StdEncoding.DecodeString(source.Ed25519)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return fmt.Errorf(".ed25519: not %d bytes in base64", ed25519.PublicKeySize)
	}
	if !validName.MatchString(source.Id) || source.Id == CertificateKey || p.keys[source.Id] != nil {
		return fmt.Errorf(".id: %q is no name, or used twice", source.Id)
	}
	p.keys[source.Id] = &Key{ID: source.Id, Holder: holder, Public: raw}
	return nil
}

// isJobVerb reports whether a verb concerns jobs, so that its grants are limited to teams and classes.
func isJobVerb(verb Verb) bool {
	return verb != pb.Verb_administer && verb != pb.Verb_audit && verb != pb.Verb_report && verb != pb.Verb_equip
}

// AgentsMustSign reports whether the heartbeats of agents need a token.
func (p *Policy) AgentsMustSign() bool { return p.source.WorkersSign }

// Format renders a policy in protobuf text format, as Parse reads it.
func Format(source *pb.Access) string {
	return prototext.MarshalOptions{Multiline: true, Indent: "  "}.Format(source)
}

// Source returns the message that the policy was made from. The caller must not modify it.
func (p *Policy) Source() *pb.Access { return p.source }

// HasIdentity reports whether an identity of that name exists.
func (p *Policy) HasIdentity(identityName string) bool { return p.identities[identityName] != nil }

// HasAdministrator reports whether any identity that has a key may change permissions.
func (p *Policy) HasAdministrator() bool {
	for _, key := range p.keys {
		if p.Decide(key.Holder, Action{Verb: pb.Verb_administer}).Allowed {
			return true
		}
	}
	return false
}

// ParseVerb returns the verb of that name.
func ParseVerb(name string) (Verb, bool) {
	verb, ok := pb.Verb_value[name]
	return Verb(verb), ok && verb != 0
}

// Key returns the key with that ID.
func (p *Policy) Key(id string) (*Key, bool) {
	key, ok := p.keys[id]
	return key, ok
}

// CertificateKey is the key ID that stands for a client certificate.
const CertificateKey = "certificate"

// AllowsCertificate reports whether an identity may authenticate with a client certificate.
func (p *Policy) AllowsCertificate(identityName string) bool {
	found := p.identities[identityName]
	return found != nil && found.allowsCertificate
}

// KeyBelongsTo reports whether the key with that ID, or a client certificate, authenticates an identity.
func (p *Policy) KeyBelongsTo(identityName, keyID string) bool {
	if keyID == CertificateKey {
		return p.AllowsCertificate(identityName)
	}
	known, ok := p.keys[keyID]
	return ok && known.Holder == identityName
}

// Counts returns the numbers of roles, identities and keys.
func (p *Policy) Counts() (roles, identities, keys int) {
	return len(p.roles), len(p.identities), len(p.keys)
}

// Decide decides whether an identity may perform an action. The first grant that covers the action allows it;
// without such a grant it is denied. A submission above standard priority needs two grants: one to submit, and one
// to prioritise up to that priority.
func (p *Policy) Decide(identityName string, action Action) Decision {
	actor := p.identities[identityName]
	if actor == nil {
		return Decision{Reason: "nobody of that name"}
	}
	decision := actor.findGrant(action)
	if !decision.Allowed || action.Verb != pb.Verb_submit || action.Priority >= wire.PriorityStandard {
		return decision
	}
	action.Verb = pb.Verb_prioritise
	return actor.findGrant(action)
}

// findGrant allows an action by the first grant that covers it. If there is none, the reason tells why the last
// grant of the verb does not cover it.
func (id *identity) findGrant(action Action) Decision {
	reason := "no grant of " + action.Verb.String()
	for _, r := range id.roles {
		for i, g := range r.grants {
			if !g.verbs[action.Verb] {
				continue
			}
			if isJobVerb(action.Verb) && !g.coversJob(action) {
				reason = fmt.Sprintf("no grant of %s covers team %q and class %q",
					action.Verb, action.Team, action.Class)
				continue
			}
			if action.Verb == pb.Verb_prioritise && action.Priority < g.highestPriority {
				reason = fmt.Sprintf("prioritise goes up to %s only", wire.PriorityName(g.highestPriority))
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
	return Decision{Reason: reason}
}

// coversJob reports whether a grant covers the team and class of an action's job.
func (g *grant) coversJob(action Action) bool {
	return containsGroup(g.teams, action.Team) && containsGroup(g.classes, action.Class)
}

// containsGroup reports whether a set includes a team or class. An unknown one has no name, and only AnyGroup
// includes it.
func containsGroup(set map[string]bool, name string) bool {
	return set[AnyGroup] || name != "" && set[name]
}
