package streamorigin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

const (
	// readTimeout bounds one reading of the topic: a connection and an answer from another region, with room
	// for a slow store.
	readTimeout = 400 * time.Millisecond
	// slowTimeout bounds the publisher's readings and writes after a failed one, which may have taken too long: the topic may
	// have several pages, each read over a new connection.
	slowTimeout = 3 * time.Second
	// endTimeout bounds the question for the end of the topic: an answer from another region takes half of it.
	endTimeout = 130 * time.Millisecond
	// failurePause is for how long after a failed reading none is begun for a caller that waits.
	failurePause = time.Second
)

// errStoreFailedLately is returned while readings are not worth waiting for.
var errStoreFailedLately = errors.New("the store failed to answer a moment ago")

// reader reads the topic for all that need it. Each of them gets what was read after it asked, so that it learns
// every version that was declared before; those that ask meanwhile share the next reading.
type reader struct {
	topic  keyedlog.Topic
	clock  bootclock.Clock
	events *event.Recorder

	mu            sync.Mutex
	running, next *reading
	failedAt      time.Duration
	// last is the latest view; nil before the first.
	last atomic.Pointer[view]
}

// reading is one reading of the topic; its results may be used once done is closed.
type reading struct {
	done chan struct{}
	view *view
	err  error
}

// read returns what the topic says now.
func (r *reader) read(ctx context.Context) (*view, error) {
	current, err := r.join()
	if err != nil {
		return nil, err
	}
	select {
	case <-current.done:
		return current.view, current.err
	case <-ctx.Done():
		return nil, errors.Trace(context.Cause(ctx))
	}
}

// readPatiently reads the topic for a caller that serves no request, within slowTimeout: a slow store must not keep versions
// from being declared.
func (r *reader) readPatiently(ctx context.Context) (*view, error) {
	ctx, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	v, err := r.readView(ctx)
	return v, errors.Trace(err)
}

// join returns the first reading that hasn't begun.
func (r *reader) join() (*reading, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failedAt != 0 && r.clock.Now()-r.failedAt < failurePause {
		return nil, errStoreFailedLately
	}
	if r.next == nil {
		r.next = &reading{done: make(chan struct{})}
	}
	joined := r.next
	if r.running == nil {
		r.startNext()
	}
	return joined, nil
}

// startNext begins the next reading. The caller must hold mu.
func (r *reader) startNext() {
	r.running, r.next = r.next, nil
	go r.run(r.running)
}

func (r *reader) run(current *reading) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	v, err := r.readView(ctx)
	current.view, current.err = v, errors.Trace(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = 0
	if err != nil {
		r.failedAt = r.clock.Now()
	}
	close(current.done)
	r.running = nil
	if r.next != nil {
		r.startNext()
	}
}

// readView reads the topic. While no node has published streams, the end offset usually shows that nothing changed.
func (r *reader) readView(ctx context.Context) (*view, error) {
	if last := r.last.Load(); last != nil && len(last.streams) == 0 && r.isCurrent(ctx, last) {
		return last, nil
	}
	records, end, err := r.topic.Newest(ctx, func() {})
	if err != nil {
		return nil, errors.Trace(err)
	}
	v, undecodable := decodeView(records, end)
	r.last.Store(v)
	for _, key := range undecodable {
		r.events.Record(event.BatchVoid, "topic", TopicName, "key", key)
	}
	return v, nil
}

// isCurrent reports whether the topic ends where a view was read. A connection that is open but dead must not use up
// the time of the reading.
func (r *reader) isCurrent(ctx context.Context, v *view) bool {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	end, err := r.topic.End(ctx)
	return err == nil && end == v.end
}
