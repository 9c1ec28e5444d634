package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// capacity is how many bytes of lines wait at most: two seconds of a busy node.
	capacity = 256 << 10
	// interval is how often waiting lines are written, so that a busy node makes ten
	// writes a second and not one for each line.
	interval = 100 * time.Millisecond
)

// Writer buffers whole lines. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int
	ended   chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New starts a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, ended: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > capacity {
		w.dropped++
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.flush()
		case <-w.ended:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.waiting, w.dropped
	w.waiting, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "event=107 name=LinesDropped count=%d\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // nobody is left to tell when the output is gone
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}

// Close writes what waits.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.ended) })
	<-w.done
	return nil
}
