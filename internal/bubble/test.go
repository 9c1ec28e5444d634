// Package bubble runs tests in virtual time.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test is synctest.Test on one processor. The race detector of Go 1.26 occasionally crashes (SIGSEGV
// or a failed check within ThreadSanitizer itself) when the timers of a bubble run on several
// processors. On one it still finds races, as it detects them by happens-before and not by chance.
// It is not for parallel tests, as they share the setting.
func Test(t *testing.T, f func(t *testing.T)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}
