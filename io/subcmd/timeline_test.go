package subcmd

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
)

const lineB1 = "process=b1 at=2026-12-04T08:00:01.000000000Z/0 event=flow_open flow=7\n"

type outcome struct {
	code     subcommands.ExitStatus
	out, err string
}

func runTimeline(stdin string, args ...string) outcome {
	var out, errs bytes.Buffer
	c := &Timeline{In: strings.NewReader(stdin), Out: &out, Err: &errs}
	top := flag.NewFlagSet("egretdock", flag.ContinueOnError)
	cdr := subcommands.NewCommander(top, "egretdock")
	cdr.Error = &errs
	cdr.Register(c, "")
	if err := top.Parse(append([]string{"timeline"}, args...)); err != nil {
		return outcome{subcommands.ExitUsageError, "", err.Error()}
	}
	code := cdr.Execute(context.Background())
	return outcome{code, out.String(), errs.String()}
}

func wantOutcome(t *testing.T, got outcome, code subcommands.ExitStatus, out, err string) {
	t.Helper()
	if got.code != code || !strings.Contains(got.out, out) || !strings.Contains(got.err, err) {
		t.Errorf("got %+v, want code %d, output with %q, errors with %q", got, code, out, err)
	}
}

// Guards against scripts that take a wrong command line or an incomplete time
// line for success, and against errors that hide the rest of the time line.
func TestTimelineExitCodes(t *testing.T) {
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/events" {
			_, _ = w.Write([]byte(strings.Replace(lineB1, "b1", "b2", 1)))
		}
	}))
	defer admin.Close()
	for _, tc := range []struct {
		name     string
		args     []string
		code     subcommands.ExitStatus
		out, err string
	}{
		{"standard input", []string{"-"}, 0, "b1  flow_open  flow=7", ""},
		{"address", []string{"-flow", "7", "-addr", admin.URL}, 0, "b2  flow_open  flow=7", ""},
		{"addresses after -addr", []string{"-addr", admin.URL, admin.URL + "/"}, 0, "b2  flow_open  flow=7", ""},
		{"help", []string{"--help"}, 0, "Exit codes:", ""},
		{"missing file beside a good one", []string{"-", "no/such/file"}, 1, "flow=7", "check the path"},
		{"page cannot be written", []string{"-html", "no/such/dir/x", "-"}, 1, "", "choose another file"},
		{"no source", nil, 2, "", "nothing to read"},
		{"unknown flag", []string{"-colour"}, 2, "", "Exit codes:"},
		{"flow not a number", []string{"-flow", "x", "-"}, 2, "", "Exit codes:"},
		{"flag after a file", []string{"-", "-flow"}, 2, "", "put the flags first"},
		{"invalid address", []string{"-addr", "ftp://x"}, 2, "", "invalid admin address"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wantOutcome(t, runTimeline(lineB1, tc.args...), tc.code, tc.out, tc.err)
		})
	}
}

// Guards against conditions that are parsed and not applied, in text and page.
func TestTimelineConditions(t *testing.T) {
	wantOutcome(t, runTimeline(lineB1, "-flow", "8", "-"), 0, "", "")
	if got := runTimeline(lineB1, "-flow", "8", "-"); got.out != "" {
		t.Errorf("flow 8 shows %q", got.out)
	}
	file := filepath.Join(t.TempDir(), "page.html")
	wantOutcome(t, runTimeline(lineB1, "-process", "b1", "-html", file, "-"), 0, "", "")
	page, err := os.ReadFile(file)
	if err != nil || !bytes.Contains(page, []byte(`data-pair="flow=7"`)) {
		t.Errorf("the page lacks the event: %v", err)
	}
}
