package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs a command line and returns its output.
func runCommand(args ...string) (string, error) {
	cmd := rootCommand()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

// Wrong usage must be reported as a single line that names the mistake.
func TestUsageErrorsAreOneLine(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad")
	if err := os.WriteFile(bad, []byte("roles {\n name: 5 }"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ args, want string }{
		{"", "--config FILE is required"},
		{"check --config none.json", "none.json"},
		{"access check " + bad, "line 2"},
		{"access explain ../../deploy/access.textproto --who a --verb fly", `no verb "fly"`},
		{"access check ../../deploy/access.textproto", "no identity with a key may administer"},
		{"access grant anna --role planner", "--key FILE or --certificate FILE is required"},
		{"access revoke anna --key x", "nothing to revoke"},
		{"key token " + bad, "not a private key"},
		{"key new a/b", "is no name"},
		{"key revoke anna", "accepts 2 arg(s)"},
		{"key revoke anna anna-1", "--key FILE or --certificate FILE is required"},
		{"key rotate --key x", "--id and --out are required"},
		{"snapshot verify " + bad, "damaged snapshot"},
		{"snapshot save x", "--server"},
		{"snapshot save x --state nowhere", "not an address and port"},
		{"snapshot save x --state 127.0.0.1:1 --share 2", "--share"},
		{"job get 7", "not a job ID"},
		{"audit verify", "--audit-key is required"},
		{"audit verify --audit-key " + bad, "not a key"},
		{"audit report", "--html FILE is required"},
		{"audit list --snapshot " + bad, "damaged snapshot"},
	} {
		_, err := runCommand(strings.Fields(test.args)...)
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", test.args, err)
		}
	}
}

// docs/settings.md must equal the page generated from the descriptions of the settings.
func TestSettingsPageIsCurrent(t *testing.T) {
	want, err := runCommand("settings", "--markdown")
	if err != nil {
		t.Fatal(err)
	}
	have, err := os.ReadFile("../../docs/settings.md")
	if err != nil || string(have) != want {
		t.Errorf("docs/settings.md differs from `dewlift settings --markdown`: %v", err)
	}
}

// The steps of docs/operations/access.md must lead from a new key to a valid permissions file, and an existing key
// file must never be overwritten.
func TestFirstKeysMakeValidPermissions(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "admin.key")
	line, err := runCommand("key", "new", "admin", "--id", "admin-1", "--out", file)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(file); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("private key file: %v, %v", info, err)
	}
	if _, err := runCommand("key", "new", "admin", "--id", "admin-1", "--out", file); err == nil {
		t.Error("an existing key file was overwritten")
	}
	raw, err := os.ReadFile("../../deploy/access.textproto")
	if err != nil {
		t.Fatal(err)
	}
	const holder = `roles: "administrator" }`
	text := strings.Replace(string(raw), holder, strings.Replace(holder, "}", line+" }", 1), 1)
	path := filepath.Join(dir, "access.textproto")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := runCommand("access", "check", path); err != nil || !strings.Contains(out, "1 keys") {
		t.Errorf("%s %v", out, err)
	}
	if out, err := runCommand("access", "explain", path, "--who", "portal", "--verb", "submit", "--team", "t",
		"--class", "c", "--priority", "high"); err != nil ||
		!strings.Contains(out, "portal may submit: role planner, grant 2") {
		t.Errorf("%s %v", out, err)
	}
	if out, err := runCommand("key", "token", file); err != nil || strings.Count(out, ".") != 2 {
		t.Errorf("%s %v", out, err)
	}
}
