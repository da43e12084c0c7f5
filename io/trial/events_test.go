package trial

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"egretdock/core/effect"
	"egretdock/io/logs"
)

func assertFileContains(t *testing.T, name, want string, contains bool) {
	t.Helper()
	b, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(b), want) != contains {
		t.Errorf("%s contains %q: %v, want %v", filepath.Base(name), want, !contains, contains)
	}
}

// Guards against balancer events on standard error, where hundreds of them hide
// the report.
func TestEventsGoToAFile(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	stderr := filepath.Join(t.TempDir(), "stderr")
	file, err := os.Create(stderr)
	if err != nil {
		t.Fatal(err)
	}
	old := os.Stderr
	os.Stderr = file
	t.Cleanup(func() { os.Stderr = old; logs.SetOutput(old) })
	e := &eventOutput{}
	if err := e.open("demo"); err != nil {
		t.Fatal(err)
	}
	logs.NewLogger(logs.Options{Process: "b1"}).Write(effect.Event{Name: "member_joined"})
	e.close()
	logs.NewLogger(logs.Options{Process: "b1"}).Write(effect.Event{Name: "member_left"})
	assertFileContains(t, e.destination(), "event=member_joined", true)
	assertFileContains(t, stderr, "event=member_joined", false)
	assertFileContains(t, stderr, "event=member_left", true)
}
