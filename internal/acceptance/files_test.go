package acceptance

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/pkg/environment"
)

// TestFilesAreAccepted guards against a run that fails because the settings or
// documents that it writes are invalid.
func TestFilesAreAccepted(t *testing.T) {
	dir := t.TempDir()
	if err := WriteFiles(dir, "bin"); err != nil {
		t.Fatal(err)
	}
	for _, f := range Firms() {
		for _, e := range f.Entries() {
			if _, err := settings.LoadEntry(filepath.Join(dir, f.Name, string(e.ID)+".json")); err != nil {
				t.Errorf("entry settings: %v", err)
			}
		}
		for _, w := range f.Workers() {
			if _, err := settings.LoadAgent(filepath.Join(dir, f.Name, string(w.ID)+".json")); err != nil {
				t.Errorf("agent settings: %v", err)
			}
		}
		if _, err := environment.Parse("trial.json", f.Document(trialName)); err != nil {
			t.Errorf("document of %s: %v", f.Name, err)
		}
	}
	list, err := os.ReadFile(filepath.Join(dir, "processes"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Count(string(list), "\n"), len(Firms())*(1+3*workersPerFirm+entriesPerFirm); got != want {
		t.Errorf("processes: got %d lines, want %d", got, want)
	}
}
