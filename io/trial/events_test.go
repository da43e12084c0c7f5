package trial

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"egretdock/core/effect"
	"egretdock/io/logs"
)

func assertHolds(t *testing.T, name, want string, holds bool) {
	t.Helper()
	b, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(b), want) != holds {
		t.Errorf("%s holds %q: %v, want %v", filepath.Base(name), want, !holds, holds)
	}
}

// Guards against a report that is lost among hundreds of events of balancers.
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
	e := &events{}
	if err := e.open("demo"); err != nil {
		t.Fatal(err)
	}
	logs.NewLogger(logs.Options{Process: "b1"}).Write(effect.Event{Name: "member_joined"})
	e.close()
	logs.NewLogger(logs.Options{Process: "b1"}).Write(effect.Event{Name: "member_left"})
	assertHolds(t, e.name(), "event=member_joined", true)
	assertHolds(t, stderr, "event=member_joined", false)
	assertHolds(t, stderr, "event=member_left", true)
}
