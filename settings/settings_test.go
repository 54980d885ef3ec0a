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
	path := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const validPlatform = `{"node_name":"n0","zone":"z","serve_on":"10.0.0.1:80","mesh_addr":"10.0.0.1:81","later":{},
"peers":[{"node_name":"n1","zone":"z","endpoint":"10.0.0.2:81"}],"services":{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"},
"cluster":{"teams":[{"name":"t","cpus_max":4.0}],"workers":{"report_s":3.0,"lease_s":30.0,"cancel_s":60.0},
"state":{"rps":60.0,"write_rps":20.0,"value_kb":8.0,"txn_ops":12},"cloud":{"rps":4.0},"quota":{"mem_mb":179.0}}}`

// An invalid file must be rejected with a one-line error that names the field.
func TestPlatformSettings(t *testing.T) {
	if _, err := LoadPlatform(writeTempFile(t, validPlatform)); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ old, replacement, named string }{
		{`"n0"`, `""`, "node_name"},
		{"10.0.0.1:80", "host", "serve_on"},
		{`"n1"`, `"n0"`, "peers[0]"},
		{`"rps":60.0`, `"rps":0`, "state.rps"},
		{`"txn_ops":12`, `"txn_ops":1`, "txn_ops"},
		{`"cancel_s":60`, `"cancel_s":34`, "cancel_s"},
		{"4.0}", "-4.0}", "teams[0]"},
		{"{", "", "settings"},
	} {
		_, err := LoadPlatform(writeTempFile(t, strings.Replace(validPlatform, test.old, test.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), test.named) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s -> %s: got %v", test.old, test.replacement, err)
		}
	}
}

// Every setting needs a description and a range that contains its default. Otherwise operators could not know
// how to use it, or the default would fail validation.
func TestEverySettingIsDescribed(t *testing.T) {
	for _, s := range OperatorSettings() {
		about := s.About
		if about.GetDoes() == "" || (about.GetMore() == "") != (about.GetLess() == "") ||
			s.Kind != protoreflect.BoolKind &&
				!(about.Min < about.Max && about.Min <= about.Is && about.Is <= about.Max) {
			t.Errorf("%s: %v", s.Name, about)
		}
	}
}

// Settings that a file does not set must keep their defaults, and the error for an invalid one must name it.
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
