package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
)

func writeTempFile(t *testing.T, body string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(p, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

const validPlatform = `{"node_name":"n0","zone":"z","serve_on":"10.0.0.1:80","mesh_addr":"10.0.0.1:81","later":{},
"peers":[{"node_name":"n1","zone":"z","endpoint":"10.0.0.2:81"}],"services":{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"},
"cluster":{"teams":[{"name":"t","cpus_max":4.0}],"workers":{"report_s":3.0,"lease_s":30.0,"cancel_s":60.0},
"state":{"rps":60.0,"write_rps":20.0,"value_kb":8.0,"txn_ops":12},"cloud":{"rps":4.0},"quota":{"mem_mb":179.0}}}`

func TestPlatformSettings(t *testing.T) {
	if _, err := LoadPlatform(writeTempFile(t, validPlatform)); err != nil {
		t.Fatal(err)
	}
	for _, tc := range [][3]string{
		{`"n0"`, `""`, "node_name"},
		{"10.0.0.1:80", "host", "serve_on"},
		{`"n1"`, `"n0"`, "peers[0]"},
		{`"rps":60.0`, `"rps":0`, "state.rps"},
		{`"txn_ops":12`, `"txn_ops":1`, "txn_ops"},
		{`"cancel_s":60`, `"cancel_s":34`, "cancel_s"},
		{"4.0}", "-4.0}", "teams[0]"},
		{"{", "", "settings"},
	} {
		_, err := LoadPlatform(writeTempFile(t, strings.Replace(validPlatform, tc[0], tc[1], 1)))
		if err == nil || !strings.Contains(err.Error(), tc[2]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s -> %s: got %v", tc[0], tc[1], err)
		}
	}
}

// Each setting is described, and its default lies in its range.
func TestEverySettingIsDescribed(t *testing.T) {
	for _, s := range OperatorSettings() {
		a := s.About
		if a.GetDoes() == "" || (a.GetMore() == "") != (a.GetLess() == "") ||
			s.Kind != protoreflect.BoolKind && !(a.Min < a.Max && a.Min <= a.Is && a.Is <= a.Max) {
			t.Errorf("%s: %v", s.Name, a)
		}
	}
}

func TestTuning(t *testing.T) {
	if err := ValidateTuning(DefaultTuning()); err != nil {
		t.Fatal(err)
	}
	got, err := LoadTuning(writeTempFile(t, "idle_ms: 7000 # longer\nspare_share: 0.5"))
	if err != nil || got.GetIdleMs() != 7000 || got.GetSpareShare() != 0.5 ||
		got.GetShards() != DefaultTuning().GetShards() {
		t.Fatalf("got %v, %v", got, err)
	}
	for body, field := range map[string]string{
		"shards: 0": "shards", "lease_ms: 5": "lease_ms", "push_ms: 40000": "expire_ms",
		"write_share: 2": "write_share", "no_such: 1": "no_such", "idle_ms: nan": "invalid value",
	} {
		if _, err := LoadTuning(writeTempFile(t, body)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got %v", body, err)
		}
	}
}
