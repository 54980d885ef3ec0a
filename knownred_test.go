package dewlift

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The list of known failures makes CI skip exactly the tests that it names. An incomplete entry, without its command,
// what was seen or its issue, and an entry for a test that does not exist must fail the run, so that the list cannot
// hide other failures.
func TestKnownRedSkipsOnlyListedTests(t *testing.T) {
	const tests = "TestA\nTestB\nTestB/seed3\n"
	for _, tt := range []struct{ name, list, want, wantError string }{
		{"a test", "TestA | go test . | it fails | issue 1\n", "^TestA$", ""},
		{"a subtest", "TestB/seed3 | go test . | seed 3 fails | issue 2\n", "^TestB$/^seed3$", ""},
		{"two", "TestA | c | s | issue 1\nTestB/seed3 | c | s | issue 1\n", "^TestA$|^TestB$/^seed3$", ""},
		{"a day skips nothing", "day crush, kilns | play | over 400 s | issue 3\n", "", ""},
		{"many", strings.Repeat("TestA | c | s | issue 1\n", 9), strings.Repeat("|^TestA$", 9)[1:], ""},
		{"no end of line", "TestA | c | s | issue 1", "^TestA$", ""},
		{"no such test", "TestC | c | s | issue 1\n", "", "there is no test TestC"},
		{"no such subtest", "TestB/seed4 | c | s | issue 1\n", "", "there is no test TestB/seed4"},
		{"no command", "TestA |  | s | issue 1\n", "", "needs its command"},
		{"nothing seen", "TestA | c |  | issue 1\n", "", "needs what was seen"},
		{"no issue", "TestA | c | s | later\n", "", "needs its issue"},
		{"a field too few", "TestA | c | issue 1\n", "", "want four fields"},
		{"a field too many", "TestA | c | s | issue 1 | x\n", "", "want four fields"},
		{"a pattern", "Test.* | c | s | issue 1\n", "", "neither the name of a test nor a day"},
		{"an empty line", "\n", "", "want four fields"},
		{"empty", "", "", "empty; take it away"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			list, names := filepath.Join(dir, "list"), filepath.Join(dir, "tests")
			for path, text := range map[string]string{list: tt.list, names: tests} {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var stdout, stderr strings.Builder
			cmd := exec.CommandContext(t.Context(), "bash", ".ci/known-red", list, names)
			cmd.Stdout, cmd.Stderr = &stdout, &stderr
			err := cmd.Run()
			mustFail := tt.wantError != ""
			if (err != nil) != mustFail || !strings.Contains(stderr.String(), tt.wantError) {
				t.Fatalf("%v: %s, want the error %q", err, stderr.String(), tt.wantError)
			}
			if got := strings.TrimSpace(stdout.String()); got != tt.want {
				t.Errorf("pattern %q, want %q", got, tt.want)
			}
		})
	}
}
