package main

import (
	"os"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// runInBubbles runs each function in its own synctest bubble, where time is virtual, up to
// GOMAXPROCS of them concurrently, and exits the process with the code that finish returns.
// A bubble can only be started from a test, and package testing would exit the process with
// its own report if the test returned.
func runInBubbles(runs []func(), finish func() int) {
	os.Args = os.Args[:1]
	runAll := func(t *testing.T) {
		slots := make(chan struct{}, runtime.GOMAXPROCS(0))
		var wg sync.WaitGroup
		for _, run := range runs {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				synctest.Test(t, func(*testing.T) { run() })
			})
		}
		wg.Wait()
		os.Exit(finish())
	}
	testing.Main(func(_, _ string) (bool, error) { return true, nil },
		[]testing.InternalTest{{Name: "matrix", F: runAll}}, nil, nil)
}
