package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedOutput blocks writes until it is unblocked.
type blockedOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

// The reader of the log hangs. No request may block, memory must not grow, and the log must
// state afterwards how many lines are missing.
func TestSlowOutputDropsLinesWithoutBlocking(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{unblock: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4 * maxPending / len(line) {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	close(out.unblock)
	is.NoErr(w.Close())
	is.True(strings.Contains(out.out.String(), "name=LinesDropped count="))
	is.True(out.out.Len() <= 3*maxPending)
}

// BenchmarkWrite measures the cost of one line to the request that writes it.
func BenchmarkWrite(b *testing.B) {
	w := New(discardOutput{})
	defer func() { _ = w.Close() }()
	line := []byte(strings.Repeat("x", 250) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = w.Write(line)
	}
}

type discardOutput struct{}

func (discardOutput) Write(p []byte) (int, error) { return len(p), nil }
