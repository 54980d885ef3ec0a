package access

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	pb "dewlift/proto"
)

const testPolicy = `
roles {
  name: "technician"
  grants { verbs: submit verbs: read verbs: cancel teams: "kiln-floor" classes: "*" }
  grants { verbs: prioritise teams: "kiln-floor" classes: "firing" up_to: "high" }
}
roles { name: "visitor" grants { verbs: submit verbs: read teams: "potters" classes: "plan" } }
roles {
  name: "packer"
  grants { verbs: submit verbs: read verbs: cancel teams: "*" classes: "labels" }
  grants { verbs: read teams: "*" classes: "reroast" }
}
roles { name: "admin" grants { verbs: administer verbs: audit } }
identities { name: "anna" roles: "technician" roles: "admin" }
identities { name: "potter" roles: "visitor" }
identities { name: "pia" roles: "packer" }
identities { name: "portal" service: true }
`

// Every decision must name the grant behind it: otherwise it can neither be explained to users nor audited.
func TestDecisionsNameTheirGrant(t *testing.T) {
	p, err := Parse([]byte(testPolicy))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		identity, verb, team, class string
		priority                    int
		want                        string // role and grant; "": denied
	}{
		{"anna", "submit", "kiln-floor", "firing", 2, "technician 1"},
		{"anna", "submit", "kiln-floor", "firing", 1, "technician 2"},
		{"anna", "submit", "kiln-floor", "firing", 0, ""}, // its grant ends at high
		{"anna", "submit", "kiln-floor", "glaze", 1, ""},  // another class
		{"anna", "submit", "potters", "plan", 3, ""},
		{"anna", "administer", "", "", 0, "admin 1"},
		{"potter", "cancel", "potters", "plan", 0, ""},
		{"potter", "submit", "potters", "plan", 3, "visitor 1"},
		{"potter", "read", "", "", 0, ""}, // a job whose team is not known
		{"pia", "cancel", "roastery", "labels", 0, "packer 1"},
		{"pia", "cancel", "roastery", "reroast", 0, ""},
		{"pia", "read", "roastery", "reroast", 0, "packer 2"},
		{"portal", "read", "potters", "plan", 0, ""},
		{"nobody", "read", "potters", "plan", 0, ""},
	} {
		verb, ok := ParseVerb(test.verb)
		if !ok {
			t.Fatalf("no verb %q", test.verb)
		}
		action := Action{Verb: verb, Team: test.team, Class: test.class, Priority: test.priority}
		decision := p.Decide(test.identity, action)
		got := ""
		if decision.Allowed {
			got = fmt.Sprint(decision.Role, " ", decision.GrantNumber)
		}
		if got != test.want || decision.Reason == "" {
			t.Errorf("%+v: %+v", test, decision)
		}
	}
}

// The error of an invalid policy must be a single line that names the invalid field.
func TestPolicyErrorsNameTheField(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{`roles { name: "a" }`, "roles[0] (a).grants"},
		{`roles { name: "a" grants { verbs: read teams: "t" } }`, "grants[0].classes"},
		{`roles { name: "a" grants { teams: "t" classes: "c" } }`, "grants[0].verbs"},
		{`roles { name: "a" grants { verbs: prioritise teams: "t" classes: "c" } }`, "up_to"},
		{
			`roles { name: "a" grants { verbs: prioritise teams: "t" classes: "c" up_to: "top" } }`,
			`no priority "top"`,
		},
		{`roles { name: "a" grants { verbs: fly } }`, "line 1"},
		{`identities { name: "x" roles: "none" }`, `identities[0] (x).roles[0]: no role "none"`},
		{`identities { name: "x" } identities { name: "x" }`, "identities[1].name"},
		{`identities { name: "x" keys { id: "k" ed25519: "AAAA" } }`, "keys[0].ed25519"},
		{`identities { name: "a b" }`, "identities[0].name"},
		{
			`roles { name: "a" grants { verbs: administer } } roles { name: "a" grants { verbs: administer } }`,
			"roles[1].name",
		},
	} {
		if _, err := Parse([]byte(test.text)); err == nil || !strings.Contains(err.Error(), test.want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", test.text, err, test.want)
		}
	}
}

// newPolicyWithKey returns the test policy with a key of anna, and the private key. The same public key is also
// eva's key k2.
func newPolicyWithKey(t testing.TB) (*Policy, *PrivateKey) {
	t.Helper()
	key, err := NewKey("anna", "k1")
	if err != nil {
		t.Fatal(err)
	}
	eva := fmt.Sprintf(`identities { name: "eva" keys { id: "k2" ed25519: %q } }`, key.PublicBase64())
	p, err := Parse([]byte(testPolicy + eva))
	if err != nil {
		t.Fatal(err)
	}
	p.source.Identities[0].Keys = []*pb.PublicKey{{Id: "k1", Ed25519: key.PublicBase64()}}
	if p, err = New(p.source); err != nil {
		t.Fatal(err)
	}
	return p, key
}

// signToken signs a token, or fails the test.
func signToken(t *testing.T, key *PrivateKey, now time.Time, lifetime time.Duration) string {
	t.Helper()
	token, err := key.SignToken(now, lifetime)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

// A token must be rejected outside of its lifetime, when it is not signed with the key of its holder that its header
// names, and when its header or claims were altered.
func TestTokensAreBoundToTimeAndHolder(t *testing.T) {
	p, key := newPolicyWithKey(t)
	now, clockError := time.Unix(1_800_000_000, 0), 50*time.Millisecond
	good := signToken(t, key, now, time.Minute)
	if got, until, err := p.VerifyToken(good, now, clockError); err != nil || got.Holder != "anna" ||
		!until.Equal(now.Add(time.Minute)) {
		t.Fatalf("got %+v %v %v", got, until, err)
	}
	if id, ok := PeekKeyID(good); !ok || id != "k1" {
		t.Errorf("the unverified key ID is %q", id)
	}
	other, err := NewKey("anna", "k1")
	if err != nil {
		t.Fatal(err)
	}
	otherHolder := *key
	otherHolder.ID = "k2" // eva's key, which has the same private key
	unknown := *key
	unknown.ID = "k9"
	parts := strings.Split(good, ".")
	unsigned := base64.RawURLEncoding.EncodeToString([]byte(`{"alg":"none","kid":"k1"}`))
	forged := base64.RawURLEncoding.EncodeToString(
		[]byte(`{"sub":"anna","aud":"dewlift","iat":1,"exp":9999999999}`))
	for name, test := range map[string]struct {
		token string
		at    time.Time
	}{
		"too late":          {good, now.Add(time.Minute + 200*time.Millisecond)},
		"too early":         {good, now.Add(-time.Second)},
		"another key":       {signToken(t, other, now, time.Minute), now},
		"another name":      {signToken(t, &otherHolder, now, time.Minute), now},
		"unknown key":       {signToken(t, &unknown, now, time.Minute), now},
		"not signed":        {unsigned + "." + parts[1] + ".", now},
		"other claims":      {parts[0] + "." + forged + "." + parts[2], now},
		"too long":          {good + strings.Repeat("x", maxTokenBytes), now},
		"empty":             {"", now},
		"lifetime too long": {signToken(t, key, now, MaxTokenLifetime), now.Add(MaxTokenLifetime + time.Second)},
	} {
		if got, _, err := p.VerifyToken(test.token, test.at, clockError); !errors.Is(err, ErrInvalidToken) {
			t.Errorf("%s: %+v %v", name, got, err)
		}
	}
	if _, err := key.SignToken(now, MaxTokenLifetime+time.Second); err == nil {
		t.Error("a token with too long a lifetime was signed")
	}
}

// FuzzParse checks that errors are a single line, and that a policy is unchanged after it was formatted and parsed
// again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(testPolicy))
	f.Add([]byte(`identities { name: "x" keys { id: "k" ed25519: "AAAA" } }`))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := Parse(text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Fatalf("the error has more than one line: %q", err)
			}
			return
		}
		again, err := Parse([]byte(Format(p.Source())))
		if err != nil || Format(again.Source()) != Format(p.Source()) {
			t.Fatalf("%s: %v", Format(p.Source()), err)
		}
	})
}

// FuzzVerify checks that a token is accepted only with the header and claims that were signed.
func FuzzVerify(f *testing.F) {
	p, key := newPolicyWithKey(f)
	now := time.Unix(1_800_000_000, 0)
	good, err := key.SignToken(now, time.Minute)
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(good))
	f.Add([]byte("a.b.c"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		PeekKeyID(string(raw))
		signed, parts := bytes.Split([]byte(good), []byte(".")), bytes.Split(raw, []byte("."))
		if got, _, err := p.VerifyToken(string(raw), now, 0); err == nil &&
			(len(parts) != 3 || !bytes.Equal(signed[0], parts[0]) || !bytes.Equal(signed[1], parts[1])) {
			t.Fatalf("%s is accepted as %s's", raw, got.Holder)
		}
	})
}
