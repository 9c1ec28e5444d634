package main

import (
	"os"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// inBubbles runs each function in a synctest bubble, where time is virtual, some of
// them at once, and ends the process with the code that finish returns. Package
// testing has no other door to a bubble: it wants a test, and ends the process
// with its own report, which finish forestalls.
func inBubbles(runs []func(), finish func() int) {
	os.Args = os.Args[:1]
	all := func(t *testing.T) {
		limit := make(chan struct{}, runtime.GOMAXPROCS(0))
		var wait sync.WaitGroup
		for _, run := range runs {
			limit <- struct{}{}
			wait.Go(func() {
				defer func() { <-limit }()
				synctest.Test(t, func(*testing.T) { run() })
			})
		}
		wait.Wait()
		os.Exit(finish())
	}
	testing.Main(func(_, _ string) (bool, error) { return true, nil },
		[]testing.InternalTest{{Name: "matrix", F: all}}, nil, nil)
}
