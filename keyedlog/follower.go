package keyedlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/internal/stall"
)

// Handler receives the records that a Follower reads. Its methods are called from one
// goroutine.
type Handler interface {
	// Reset replaces the whole state with the newest records.
	Reset(records []Record)
	// Apply applies records in log order.
	Apply(records []Record)
	// ReadFailed is called for each failed read, ReadSucceeded after each successful one.
	ReadFailed(err error)
	ReadSucceeded(ReadStats)
}

// Options configure how often a Follower reads and how long it waits.
type Options struct {
	// Wait is how long one read waits for a record.
	Wait time.Duration
	// Pause is the time between two reads; it bounds their rate.
	Pause time.Duration
	// ExtraPause, if set, returns a duration that is added to Pause.
	ExtraPause func() time.Duration
	// Await, if set, is called before each read. It blocks while nobody needs the records and
	// reports whether it did; the follower then goes on with the newest records, since reading
	// all that were written meanwhile would take longer.
	Await func(context.Context) (blocked bool)
	// Slack is how long after Wait a response may take to begin before its connection
	// is considered dead.
	Slack time.Duration
	// RetryPause is the mean pause after a failed read. It is jittered by half, so that
	// nodes that failed at the same time don't retry at the same time.
	RetryPause time.Duration
}

const (
	// resetTimeout bounds the time until the newest records begin to arrive, on the first
	// attempt.
	resetTimeout = 2200 * time.Millisecond
	// resetTimeoutStep is added after each failed attempt, up to maxResetTimeout. When all
	// nodes recover from a fault at once, they share one link for these reads; nodes that
	// gave up early and started over only kept it saturated.
	resetTimeoutStep = 1400 * time.Millisecond
	maxResetTimeout  = 5 * time.Second
)

// stallTimeout is how long a response that has begun may stall. It leaves time for a second
// read within the three seconds in which a change must take effect.
const stallTimeout = 1200 * time.Millisecond

// Follower reads a topic continuously.
type Follower struct {
	topic      Topic
	handler    Handler
	options    Options
	nextOffset int64
	// failedResets counts consecutive failed attempts to read the newest records.
	failedResets int
	// newestOffsets holds the newest offset seen of each key: a read of the newest records
	// may return older ones than were read before.
	newestOffsets map[string]int64
	// lastSuccess is when a read last succeeded.
	lastSuccess time.Time
}

// NewFollower returns a Follower that has not read anything yet.
func NewFollower(topic Topic, handler Handler, options Options) *Follower {
	return &Follower{topic: topic, handler: handler, options: options, nextOffset: -1, newestOffsets: make(map[string]int64)}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.options.Await != nil && f.options.Await(ctx) {
			f.nextOffset = -1
		}
		pause := f.pause()
		if err := f.Poll(ctx); err != nil {
			f.handler.ReadFailed(err)
			pause = f.options.RetryPause/2 + rand.N(f.options.RetryPause)
		}
		periodic.Sleep(ctx, pause)
	}
}

// pause returns the time between two successful reads.
func (f *Follower) pause() time.Duration {
	if f.options.ExtraPause == nil {
		return f.options.Pause
	}
	return f.options.Pause + f.options.ExtraPause()
}

// Poll reads once.
func (f *Follower) Poll(ctx context.Context) error {
	if f.nextOffset < 0 {
		return f.reset(ctx)
	}
	started := time.Now()
	limited, progress, cancel := stall.WithTimeout(ctx, f.options.Wait+f.options.Slack, stallTimeout)
	defer cancel()
	records, next, err := f.topic.Read(limited, f.nextOffset, f.options.Wait, progress)
	if errors.Is(err, ErrOffsetExpired) {
		f.nextOffset = -1
		return f.reset(ctx)
	}
	if err != nil {
		// The log grows while reads fail. Reading all of it afterwards would keep a node
		// on a slow link seconds behind, and only the newest records are needed.
		f.nextOffset = -1
		return err
	}
	f.nextOffset = next
	stats := f.readStats(started, records)
	if newer := f.dropStale(records); len(newer) > 0 {
		f.handler.Apply(newer)
	}
	f.handler.ReadSucceeded(stats)
	return nil
}

func (f *Follower) reset(ctx context.Context) error {
	started := time.Now()
	timeout := min(resetTimeout+time.Duration(f.failedResets)*resetTimeoutStep, maxResetTimeout)
	result := defaultReader.read(ctx, f.topic, timeout)
	if result.err != nil {
		f.failedResets++
		return result.err
	}
	records, next := result.records, result.next
	f.failedResets = 0
	for _, r := range records {
		f.newestOffsets[r.Key] = max(f.newestOffsets[r.Key], r.Offset)
	}
	f.nextOffset = next
	stats := f.readStats(started, records)
	f.handler.Reset(records)
	f.handler.ReadSucceeded(stats)
	return nil
}

func (f *Follower) dropStale(records []Record) []Record {
	newer := records[:0]
	for _, r := range records {
		if newest, ok := f.newestOffsets[r.Key]; ok && r.Offset <= newest {
			continue
		}
		f.newestOffsets[r.Key] = r.Offset
		if r.Deleted {
			delete(f.newestOffsets, r.Key)
		}
		newer = append(newer, r)
	}
	return newer
}
