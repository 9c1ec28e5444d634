package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

// Whoever reads the logs hangs. No request may wait for it, memory must not grow, and
// afterwards the log must say how much is missing.
func TestSlowOutputDropsLinesWithoutBlocking(t *testing.T) {
	is := is.New(t)
	out := &blocked{open: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4 * capacity / len(line) {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	close(out.open)
	is.NoErr(w.Close())
	is.True(strings.Contains(out.out.String(), "name=LinesDropped count="))
	is.True(out.out.Len() <= 3*capacity)
}

// BenchmarkWrite is what one line costs the request that writes it.
func BenchmarkWrite(b *testing.B) {
	w := New(discard{})
	defer func() { _ = w.Close() }()
	line := []byte(strings.Repeat("x", 250) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = w.Write(line)
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
