package sigs

/*
#include <signal.h>
#include <string.h>

// The Go runtime needs some milliseconds, on a small host a tenth of a second,
// until a Go function can ask for a signal. A SIGHUP in that time would end a
// balancer that is told of new settings while it starts. This constructor runs
// before the runtime. Other commands keep the default action, so that the end of
// a terminal ends them.
__attribute__((constructor)) static void ignore_early_hangup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "direct") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
*/
import "C"
