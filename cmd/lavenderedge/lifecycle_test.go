package main

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/logsink"
	"lavenderpin.dev/lavenderpin/platform"
)

// Guards against cutting the first requests if SIGTERM arrives while the node begins to listen.
func TestSignalDuringStartDrainsNodeThatListens(t *testing.T) {
	is := is.New(t)
	for range 50 {
		p := &process{events: newRecorder(platform.Settings{}, logsink.New(io.Discard))}
		drained := 0
		started, signals := make(chan error, 1), make(chan os.Signal, 1)
		started <- nil // not read yet
		signals <- syscall.SIGTERM
		is.NoErr(p.serve(lifecycle{started: started, signals: signals, cancelStart: func() {}, drain: func() { drained++ }}))
		is.Equal(drained, 1)
	}
}

// Guards against a node that starts to serve after SIGTERM.
func TestSignalBeforeListeningEndsStart(t *testing.T) {
	is := is.New(t)
	p := &process{events: newRecorder(platform.Settings{}, logsink.New(io.Discard))}
	ctx, cancel := context.WithCancel(context.Background())
	started, signals := make(chan error, 1), make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	go func() {
		<-ctx.Done()
		started <- ctx.Err()
	}()
	is.NoErr(p.serve(lifecycle{started: started, signals: signals, cancelStart: cancel, drain: func() { t.Error("drained a node that doesn't listen") }}))
}
