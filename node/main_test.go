package node

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor. The race detector of Go 1.26 crashes
// now and then (SIGSEGV or a failed check within ThreadSanitizer itself) when the
// timers of a synctest bubble run on several; on one it still finds races, as it
// goes by happens-before and not by chance.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
