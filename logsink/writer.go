package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the buffered lines in bytes: two seconds of a busy node.
	maxPending = 256 << 10
	// flushInterval is how often buffered lines are written, so that a busy node makes ten
	// writes a second rather than one for each line.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers whole lines. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New starts a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line without blocking.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.flush()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "event=107 name=LinesDropped count=%d\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // a failure to write the log has nowhere to be reported
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}

// Close writes the buffered lines.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.stop) })
	<-w.done
	return nil
}
