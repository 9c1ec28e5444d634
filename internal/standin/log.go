package standin

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/ports"
)

// ErrDown is what a stand-in answers while it is switched off.
var ErrDown = errors.New("stand-in is down")

// Log is an in-memory log with fault switches. It implements ports.Log.
type Log struct {
	mu      sync.Mutex
	streams map[string]*logStream
	down    bool
	lose    int
	delay   time.Duration
	keep    int
}

type logStream struct {
	records []ports.Record
	next    uint64
	grown   chan struct{}
}

var _ ports.Log = (*Log)(nil)

// NewLog returns an empty log that keeps everything.
func NewLog() *Log { return &Log{streams: map[string]*logStream{}} }

// SetDown switches the log off or on; while off every call fails.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// DropResponses makes the next n appends take effect and then fail.
func (l *Log) DropResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

// SetDelay makes each call take at least d.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetRetention lets only the latest n records of each stream survive; 0 keeps all.
func (l *Log) SetRetention(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keep = n
}

func (l *Log) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{next: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) pause(ctx context.Context) error {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Append implements ports.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := l.pause(ctx); err != nil {
		return 0, errors.Trace(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errors.Trace(ErrDown)
	}
	s := l.stream(stream)
	offset := s.next
	s.next++
	s.records = append(s.records, ports.Record{Offset: offset, Data: append([]byte(nil), data...)})
	if l.keep > 0 && len(s.records) > l.keep {
		s.records = s.records[len(s.records)-l.keep:]
	}
	close(s.grown)
	s.grown = make(chan struct{})
	if l.lose > 0 {
		l.lose--
		return 0, errors.New("the answer was lost")
	}
	return offset, nil
}

// Read implements ports.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	if err := l.pause(ctx); err != nil {
		return ports.ReadResult{}, errors.Trace(err)
	}
	slice, grown, err := l.readNow(stream, from, max)
	if err != nil || len(slice.Records) > 0 || wait <= 0 {
		return slice, err
	}
	select {
	case <-grown:
	case <-time.After(wait):
	case <-ctx.Done():
		return ports.ReadResult{}, errors.Trace(ctx.Err())
	}
	slice, _, err = l.readNow(stream, from, max)
	return slice, err
}

func (l *Log) readNow(stream string, from uint64, max int) (ports.ReadResult, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return ports.ReadResult{}, nil, errors.Trace(ErrDown)
	}
	s := l.stream(stream)
	oldest := s.next - uint64(len(s.records))
	if from < oldest {
		return ports.ReadResult{}, nil, errors.Trace(ports.ErrAgedOut)
	}
	slice := ports.ReadResult{Oldest: oldest, Next: s.next}
	if from < s.next {
		records := s.records[from-oldest:]
		slice.Records = append(slice.Records, records[:min(max, len(records))]...)
	}
	return slice, s.grown, nil
}
