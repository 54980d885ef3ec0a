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
roles { name: "technician" grants { verbs: submit verbs: read verbs: cancel teams: "kiln-floor" classes: "*" } grants { verbs: prioritise teams: "kiln-floor" classes: "firing" up_to: "high" } }
roles { name: "visitor" grants { verbs: submit verbs: read teams: "potters" classes: "plan" } }
roles { name: "packer" grants { verbs: submit verbs: read verbs: cancel teams: "*" classes: "labels" } grants { verbs: read teams: "*" classes: "reroast" } }
roles { name: "admin" grants { verbs: administer verbs: audit } }
identities { name: "anna" roles: "technician" roles: "admin" }
identities { name: "potter" roles: "visitor" }
identities { name: "pia" roles: "packer" }
identities { name: "portal" service: true }
`

func TestDecisionsNameTheirGrant(t *testing.T) {
	p, err := Parse([]byte(testPolicy))
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		who, verb, team, class string
		prio                   int
		want                   string // role and grant; "": refused
	}{
		{"anna", "submit", "kiln-floor", "firing", 2, "technician 1"},
		{"anna", "submit", "kiln-floor", "firing", 1, "technician 2"},
		{"anna", "submit", "kiln-floor", "firing", 0, ""}, // up to high only
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
		v, ok := ParseVerb(x.verb)
		if !ok {
			t.Fatal(x.verb)
		}
		d := p.Decide(x.who, Action{Verb: v, Team: x.team, Class: x.class, Priority: x.prio})
		got := ""
		if d.Allowed {
			got = fmt.Sprint(d.Role, " ", d.GrantNumber)
		}
		if got != x.want || d.Reason == "" {
			t.Errorf("%+v: %+v", x, d)
		}
	}
}

// A bad file gives one line that names the place.
func TestInvalidPoliciesAreNamed(t *testing.T) {
	for text, want := range map[string]string{
		`roles { name: "a" }`: "roles[0] (a).grants",
		`roles { name: "a" grants { verbs: read teams: "t" } }`:                                             "grants[0].classes",
		`roles { name: "a" grants { teams: "t" classes: "c" } }`:                                            "grants[0].verbs",
		`roles { name: "a" grants { verbs: prioritise teams: "t" classes: "c" } }`:                          "up_to",
		`roles { name: "a" grants { verbs: prioritise teams: "t" classes: "c" up_to: "top" } }`:             `no priority "top"`,
		`roles { name: "a" grants { verbs: fly } }`:                                                         "line 1",
		`identities { name: "x" roles: "none" }`:                                                            `identities[0] (x).roles[0]: no role "none"`,
		`identities { name: "x" } identities { name: "x" }`:                                                 "identities[1].name",
		`identities { name: "x" keys { id: "k" ed25519: "AAAA" } }`:                                         "keys[0].ed25519",
		`identities { name: "a b" }`:                                                                        "identities[0].name",
		`roles { name: "a" grants { verbs: administer } } roles { name: "a" grants { verbs: administer } }`: "roles[1].name",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

func withKey(t testing.TB) (*Policy, *PrivateKey) {
	t.Helper()
	k, err := NewKey("anna", "k1")
	if err != nil {
		t.Fatal(err)
	}
	p, err := Parse(
		[]byte(
			testPolicy + fmt.Sprintf(`identities { name: "eva" keys { id: "k2" ed25519: %q } }`, k.PublicBase64()),
		),
	)
	if err != nil {
		t.Fatal(err)
	}
	p.source.Identities[0].Keys = []*pb.PublicKey{{Id: "k1", Ed25519: k.PublicBase64()}}
	if p, err = New(p.source); err != nil {
		t.Fatal(err)
	}
	return p, k
}

func TestTokensAreBoundToTimeAndHolder(t *testing.T) {
	p, k := withKey(t)
	now, bound := time.Unix(1_800_000_000, 0), 50*time.Millisecond
	token := func(k *PrivateKey, at time.Time, life time.Duration) string {
		s, err := k.SignToken(at, life)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	good := token(k, now, time.Minute)
	if got, until, err := p.VerifyToken(good, now, bound); err != nil || got.Holder != "anna" ||
		!until.Equal(now.Add(time.Minute)) {
		t.Fatalf("got %+v %v %v", got, until, err)
	}
	if id, ok := PeekKey(good); !ok || id != "k1" {
		t.Errorf("peeked %q", id)
	}
	other, err := NewKey("anna", "k1")
	if err != nil {
		t.Fatal(err)
	}
	borrowed := *k
	borrowed.ID = "k2" // eva's, with the same private half
	stranger := *k
	stranger.ID = "k9"
	parts := strings.Split(good, ".")
	none := base64.RawURLEncoding.EncodeToString([]byte(`{"alg":"none","kid":"k1"}`))
	for what, x := range map[string]struct {
		token string
		at    time.Time
	}{
		"too late":     {good, now.Add(time.Minute + 200*time.Millisecond)},
		"too early":    {good, now.Add(-time.Second)},
		"another key":  {token(other, now, time.Minute), now},
		"another name": {token(&borrowed, now, time.Minute), now},
		"unknown key":  {token(&stranger, now, time.Minute), now},
		"not signed":   {none + "." + parts[1] + ".", now},
		"other claims": {
			parts[0] + "." + base64.RawURLEncoding.EncodeToString([]byte(`{"sub":"anna","aud":"dewlift","iat":1,"exp":9999999999}`)) + "." + parts[2],
			now,
		},
		"too long": {good + strings.Repeat("x", maxTokenBytes), now},
		"empty":    {"", now},
		"life too long": {
			func() string { long := *k; s, _ := long.SignToken(now, MaxTokenLifetime); return s }(),
			now.Add(MaxTokenLifetime + time.Second),
		},
	} {
		if got, _, err := p.VerifyToken(x.token, x.at, bound); !errors.Is(err, ErrInvalidToken) {
			t.Errorf("%s: %+v %v", what, got, err)
		}
	}
	if _, err := k.SignToken(now, MaxTokenLifetime+time.Second); err == nil {
		t.Error("a token that lives too long was signed")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(testPolicy))
	f.Add([]byte(`identities { name: "x" keys { id: "k" ed25519: "AAAA" } }`))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := Parse(text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Fatalf("more than a line: %q", err)
			}
			return
		}
		again, err := Parse([]byte(Format(p.Source())))
		if err != nil || Format(again.Source()) != Format(p.Source()) {
			t.Fatalf("%s: %v", Format(p.Source()), err)
		}
	})
}

func FuzzVerify(f *testing.F) {
	p, k := withKey(f)
	now := time.Unix(1_800_000_000, 0)
	good, err := k.SignToken(now, time.Minute)
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(good))
	f.Add([]byte("a.b.c"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		PeekKey(string(raw))
		parts, mine := bytes.Split([]byte(good), []byte(".")), bytes.Split(raw, []byte("."))
		if got, _, err := p.VerifyToken(string(raw), now, 0); err == nil &&
			!(len(mine) == 3 && bytes.Equal(parts[0], mine[0]) && bytes.Equal(parts[1], mine[1])) {
			t.Fatalf("%s is accepted as %s's", raw, got.Holder)
		}
	})
}
