package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A file of ends that holds null must be refused in one line. It was taken as no ends at all, and saving the new ones
// ended in "assignment to entry in nil map".
func TestNullChainEndsFileIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ends.json")
	if err := os.WriteFile(path, []byte("null\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ends, err := loadChainEnds(path)
	if err == nil || !strings.Contains(err.Error(), path) || strings.Contains(err.Error(), "\n") {
		t.Errorf("ends %v, error %v", ends, err)
	}
}

// The demo must check each feature file at its start. A wrong one of --tls was found by the controllers alone, which
// ended one by one while the demo waited for them.
func TestFeatureFilesAreValidated(t *testing.T) {
	path := filepath.Join(t.TempDir(), "wrong.textproto")
	if err := os.WriteFile(path, []byte("no such field: 1"), 0o600); err != nil {
		t.Fatal(err)
	}
	for flag, files := range map[string]featureFiles{
		"--access":  {permissionsFile: path},
		"--tls":     {tlsFile: path},
		"--booking": {equipmentFile: path},
		"--lanes":   {priorityClassesFile: path},
	} {
		if err := files.validate(""); err == nil {
			t.Errorf("a wrong file of %s is accepted", flag)
		}
	}
}
