package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A file of chain ends that contains null must be rejected with an error of one line. It was read as an empty file,
// and saving the new ends panicked with "assignment to entry in nil map".
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

// The demo must validate each feature file when it starts. An invalid --tls file was only detected by the controllers,
// which exited one after the other while the demo waited for them.
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
			t.Errorf("an invalid file for %s is accepted", flag)
		}
	}
}
