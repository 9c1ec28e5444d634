package node

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests with GOMAXPROCS=1. The race detector of Go 1.26 occasionally crashes
// (SIGSEGV or a failed check within ThreadSanitizer itself) when the timers of a synctest bubble
// run on several processors. On one it still finds races, as it detects them by happens-before
// and not by chance.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
