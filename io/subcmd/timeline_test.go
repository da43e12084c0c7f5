package subcmd

import (
	"context"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
)

const lineB1 = "process=b1 at=2026-12-04T08:00:01.000000000Z/0 event=flow_open flow=7\n"

// wantTimeline runs the command with lineB1 as its standard input, and asserts
// its exit code and a text in its output and in its errors.
func wantTimeline(t *testing.T, args string, code subcommands.ExitStatus, out, err string) {
	t.Helper()
	var gotOut, gotErr strings.Builder
	top := flag.NewFlagSet("egretdock", flag.ContinueOnError)
	cdr := subcommands.NewCommander(top, "egretdock")
	cdr.Error = &gotErr
	cdr.Register(&Timeline{In: strings.NewReader(lineB1), Out: &gotOut, Err: &gotErr}, "")
	top.Parse(append([]string{"timeline"}, strings.Fields(args)...))
	if got := cdr.Execute(context.Background()); got != code || !strings.Contains(gotOut.String(), out) || !strings.Contains(gotErr.String(), err) {
		t.Errorf("code %d, output %q, errors %q; want %d, %q, %q", got, gotOut.String(), gotErr.String(), code, out, err)
	}
}

// Guards against an exit code of 0 for a wrong command line or an incomplete
// timeline, against errors that hide the rest of the timeline, and against
// conditions that are parsed but not applied.
func TestTimelineExitCodes(t *testing.T) {
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/events" {
			io.WriteString(w, strings.Replace(lineB1, "b1", "b2", 1)+lineB1)
		}
	}))
	defer admin.Close()
	for _, tc := range []struct {
		args     string
		code     subcommands.ExitStatus
		out, err string
	}{
		{"-", 0, "b1  flow_open  flow=7", ""},
		{"-flow 7 -process b2 -addr " + admin.URL, 0, "UTC\n08:00:01.000000               b2  flow_open  flow=7", ""},
		{"-addr " + admin.URL + " " + admin.URL + "/", 0, "b2  flow_open  flow=7", ""},
		{"--help", 0, "Exit codes:", ""},
		{"- no/such/file", 1, "flow=7", "check the path"},
		{"-html no/such/dir/x -", 1, "", "choose another file"},
		{"", 2, "", "nothing to read"},
		{"-colour", 2, "", "Exit codes:"},
		{"-flow x -", 2, "", "Exit codes:"},
		{"- -flow", 2, "", "put the flags first"},
		{"-addr ftp://x", 2, "", "invalid admin address"},
	} {
		t.Run(tc.args, func(t *testing.T) { wantTimeline(t, tc.args, tc.code, tc.out, tc.err) })
	}
}

// Guards against an exit code of 0 without a page that holds the event.
func TestTimelinePage(t *testing.T) {
	file := filepath.Join(t.TempDir(), "page.html")
	wantTimeline(t, "-html "+file+" -", 0, "", "")
	if page, err := os.ReadFile(file); err != nil || !strings.Contains(string(page), `data-pair="flow=7"`) {
		t.Errorf("the page lacks the event: %v", err)
	}
}
