package standin

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/ports"
)

// ErrDown is returned by a stand-in that SetDown made unavailable.
var ErrDown = errors.New("stand-in is down")

// Log is an in-memory log with fault injection. It implements ports.Log.
type Log struct {
	mu              sync.Mutex
	streams         map[string]*logStream
	down            bool
	responsesToDrop int
	delay           time.Duration
	retain          int
}

type logStream struct {
	records  []ports.Record
	next     uint64
	appended chan struct{}
}

var _ ports.Log = (*Log)(nil)

// NewLog returns an empty log that retains all records.
func NewLog() *Log { return &Log{streams: map[string]*logStream{}} }

// SetDown makes the log unavailable or available; while down every call fails.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// DropResponses makes the next n appends take effect but return an error.
func (l *Log) DropResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToDrop = n
}

// SetDelay makes each call take at least d.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetRetention retains only the latest n records of each stream; 0 retains all.
func (l *Log) SetRetention(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retain = n
}

func (l *Log) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{next: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) wait(ctx context.Context) error {
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
	if err := l.wait(ctx); err != nil {
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
	if l.retain > 0 && len(s.records) > l.retain {
		s.records = s.records[len(s.records)-l.retain:]
	}
	close(s.appended)
	s.appended = make(chan struct{})
	if l.responsesToDrop > 0 {
		l.responsesToDrop--
		return 0, errors.New("the response was dropped")
	}
	return offset, nil
}

// Read implements ports.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	if err := l.wait(ctx); err != nil {
		return ports.ReadResult{}, errors.Trace(err)
	}
	slice, appended, err := l.readNow(stream, from, max)
	if err != nil || len(slice.Records) > 0 || wait <= 0 {
		return slice, err
	}
	select {
	case <-appended:
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
	return slice, s.appended, nil
}
