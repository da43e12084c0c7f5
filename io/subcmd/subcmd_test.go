package subcmd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"egretdock/io/cmdenv"

	"egretdock/io/emul/plat"
)

const desk = `{"templates": [{"name": "desk", "classes": [{"name": "orders", "port": 100, "kind": "request"}]}]}`

func customer(name string, n, weight int) string {
	return fmt.Sprintf(`{"customers": [{"customer": %q, "template": "desk", "address": "10.0.0.%d", "weight": %d,
  "upstreams": [{"name": "u%d", "data_centre": "east", "endpoint": "10.1.0.%d:9000", "health": "10.1.0.%d:9001"}]}]}`, name, n, weight, n, n, n)
}

// shell runs commands against a stand-in platform, as an operator does.
type shell struct {
	t    *testing.T
	plat *plat.Server
	url  string
	dir  string
	ids  int
}

func newShell(t *testing.T) *shell {
	s := &shell{t: t, plat: plat.NewServer(), dir: t.TempDir()}
	srv := httptest.NewServer(s.plat)
	t.Cleanup(srv.Close)
	s.url = srv.URL
	s.write("desk", desk)
	s.write("ann", customer("ann", 1, 1))
	return s
}

func (s *shell) write(name, text string) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// run runs one command and asserts its exit code and a text in its output. Words
// that start with @ are files.
func (s *shell) run(line string, code int, want string) string {
	s.t.Helper()
	args := strings.Fields(line)
	for i, a := range args {
		if name, ok := strings.CutPrefix(a, "@"); ok {
			args[i] = filepath.Join(s.dir, name)
		}
	}
	args = append([]string{args[0], "-platform", s.url}, args[1:]...)
	var out bytes.Buffer
	got := Main(s.t.Context(), args, cmdenv.Env{Out: &out, Err: &out, User: "ada", NewID: func() string {
		s.ids++
		return fmt.Sprint("id", s.ids)
	}})
	if got != code || !strings.Contains(out.String(), want) {
		s.t.Fatalf("%s: exit code %d, want %d with %q\n%s", line, got, code, want, &out)
	}
	return out.String()
}

// Guards against commands that lose an edit, do not report what they did, or
// fail without a remedy.
func TestConfigurationCommands(t *testing.T) {
	s := newShell(t)
	s.run("check @ann", 3, "ann:1:48: customer ann refers to unknown template desk; apply the template first")
	s.run("check @ann @desk", 0, "2 objects are valid")
	s.run("apply @ann @desk", 0, "customer ann accepted at revision 2, edit id1.1")
	s.run("apply @ann @desk", 0, "customer ann unchanged")
	s.write("ann", customer("ann", 1, 2))
	s.run("diff @ann", 9, "weight 1 -> 2\ncompared with revision 2")
	s.run("apply -base 2 @ann", 0, "customer ann accepted at revision 3")
	s.write("ann", customer("ann", 1, 3))
	s.run("apply -author bob -base 2 @ann", 4, "ann:1:16: customer ann was edited at revision 3 by ada (edit id3.0: weight 1 -> 2), after revision 2 on which edit id4 by bob is based (weight 2 -> 3)")
	s.run("backout 2", 4, "back out revision 3 first")
	s.run("backout 3", 0, "customer ann accepted at revision 4")
	s.run("diff @ann", 9, "weight 1 -> 3")
	s.run("status -log 2", 0, "back_out of customer ann by ada, edit id6, undoes revision 3")
	s.write("ann", s.run("status -show customer/ann", 0, "apply with -base 4"))
	s.run("diff @ann", 0, "compared with revision 4")
	s.plat.Put("hosts/b1", []byte(`{"data_centre":"east"}`))
	s.run("apply -base 4 -delete customer/ann", 0, "accepted at revision 5")
	s.run("status", 0, "quarantine: 10.0.0.1:0 released by desk/ann at revision 5, not confirmed by 1 balancers")
	s.write("bob", customer("bob", 1, 1))
	s.run("apply @bob", 5, "b1 (east, revision 0)")
	s.run("backout 77", 8, "status -log 20")
	s.run("apply", 3, "name files or -delete")
	s.plat.Faults.SetDown(true)
	s.run("status", 6, "check the platform address")
}

// Guards against an operator who cannot tell whether an edit took effect after
// the answer of the platform was lost.
func TestLostAnswer(t *testing.T) {
	s := newShell(t)
	s.plat.Faults.LoseAnswers("change/1", 1)
	s.run("apply @desk", 0, "reading back shows that the edit took effect\ntemplate desk accepted at revision 1")
	s.run("apply @ann", 0, "revision 2")
	s.write("ann", customer("ann", 1, 5))
	s.run("apply -base 2 -author bob @ann", 0, "revision 3")
	s.write("ann", customer("ann", 1, 1))
	s.run("apply -edit id2.0 @ann", 0, "edit id2.0 took effect before, at revision 2")
	s.run("status", 0, "revision 3:")
}

// Guards against files that are partly applied because one of them is invalid.
func TestApplyIsAllOrNothing(t *testing.T) {
	s := newShell(t)
	s.write("bob", customer("bob", 1, 1))
	s.run("apply @desk @ann @bob", 3, "bob:1:67: address 10.0.0.1 is used by customer ann")
	s.run("status", 0, "revision 0:")
}

// Guards against a command without help, and against a stand-in platform that
// does not serve.
func TestHelpAndPlatform(t *testing.T) {
	for _, name := range []string{"check", "diff", "apply", "backout", "status", "platform"} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			code := Main(t.Context(), []string{name, "--help"}, cmdenv.Env{Out: &out, Err: &out})
			if code != 0 || !strings.Contains(out.String(), "Example") || !strings.Contains(out.String(), "Exit codes") {
				t.Errorf("exit code %d\n%s", code, &out)
			}
		})
	}
	s := newShell(t)
	ctx, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	done := make(chan int)
	go func() {
		done <- Main(ctx, []string{"platform", "-listen", "127.0.0.1:0"}, cmdenv.Env{Out: w, Err: io.Discard})
	}()
	if _, err := fmt.Fscanf(r, "platform at %s\n", &s.url); err != nil {
		t.Fatal(err)
	}
	s.run("apply @desk", 0, "accepted at revision 1")
	cancel()
	if code := <-done; code != 0 {
		t.Errorf("exit code %d", code)
	}
}
