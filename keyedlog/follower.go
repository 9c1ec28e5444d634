package keyedlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/internal/stall"
)

// Handler takes what a follower reads. Its methods are called from one goroutine.
type Handler interface {
	// Reset replaces everything by the newest records.
	Reset(records []Record)
	// Apply takes records in the log's order.
	Apply(records []Record)
	// ReadFailed is called for each failed reading, Caught after each successful one.
	ReadFailed(err error)
	ReadSucceeded(ReadStats)
}

// Options set a follower's pace.
type Options struct {
	// Wait is how long one reading waits for a record.
	Wait time.Duration
	// Pause is the time between two readings, which bounds their number.
	Pause time.Duration
	// ExtraPause, where given, lengthens the pause by what it returns.
	ExtraPause func() time.Duration
	// Slack is how long an answer may take to begin beyond Wait before its connection
	// counts as dead.
	Slack time.Duration
	// RetryPause is the mean pause after a failed reading; it varies by half, so that nodes
	// that failed together don't come back together.
	RetryPause time.Duration
}

const (
	// resetTimeout bounds the time until the newest records begin to arrive at the first try.
	resetTimeout = 2200 * time.Millisecond
	// resetGrowth is added after each failed try, up to resetMost. After a fault that all
	// nodes come back from at once they share one link for these readings; nodes that
	// gave up early and began again only kept it full.
	resetGrowth = 1400 * time.Millisecond
	resetMost   = 5 * time.Second
)

// stalledAfter is how long an answer that has begun may bring nothing. It leaves time for a
// second reading within the three seconds in which a change must be in force.
const stalledAfter = 1200 * time.Millisecond

// Follower reads a topic on and on.
type Follower struct {
	topic   Topic
	handler Handler
	options Options
	next    int64
	// failed counts failed tries to read the newest records in a row.
	failed int
	// seen holds each key's newest offset: a reading of the newest records may be older
	// than what was read before.
	seen map[string]int64
	// caughtAt is when a reading last succeeded.
	caughtAt time.Time
}

// NewFollower returns a follower that has read nothing.
func NewFollower(topic Topic, handler Handler, options Options) *Follower {
	return &Follower{topic: topic, handler: handler, options: options, next: -1, seen: make(map[string]int64)}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.pause()
		if err := f.Poll(ctx); err != nil {
			f.handler.ReadFailed(err)
			pause = f.options.RetryPause/2 + rand.N(f.options.RetryPause)
		}
		periodic.Pause(ctx, pause)
	}
}

// pause is the time between two readings that succeed.
func (f *Follower) pause() time.Duration {
	if f.options.ExtraPause == nil {
		return f.options.Pause
	}
	return f.options.Pause + f.options.ExtraPause()
}

// Poll does one reading.
func (f *Follower) Poll(ctx context.Context) error {
	if f.next < 0 {
		return f.reset(ctx)
	}
	begun := time.Now()
	limited, progress, cancel := stall.Limit(ctx, f.options.Wait+f.options.Slack, stalledAfter)
	defer cancel()
	records, next, err := f.topic.Read(limited, f.next, f.options.Wait, progress)
	if errors.Is(err, ErrOffsetExpired) {
		f.next = -1
		return f.reset(ctx)
	}
	if err != nil {
		// While readings fail the log goes on. Reading all of it afterwards would keep a
		// node on a slow link seconds behind. The newest records are all that is needed.
		f.next = -1
		return err
	}
	f.next = next
	reading := f.reading(begun, records)
	if fresh := f.fresh(records); len(fresh) > 0 {
		f.handler.Apply(fresh)
	}
	f.handler.ReadSucceeded(reading)
	return nil
}

func (f *Follower) reset(ctx context.Context) error {
	begun := time.Now()
	patience := min(resetTimeout+time.Duration(f.failed)*resetGrowth, resetMost)
	newest := usualWatch.read(ctx, f.topic, patience)
	if newest.err != nil {
		f.failed++
		return newest.err
	}
	records, next := newest.records, newest.next
	f.failed = 0
	for _, r := range records {
		f.seen[r.Key] = max(f.seen[r.Key], r.Offset)
	}
	f.next = next
	reading := f.reading(begun, records)
	f.handler.Reset(records)
	f.handler.ReadSucceeded(reading)
	return nil
}

func (f *Follower) fresh(records []Record) []Record {
	fresh := records[:0]
	for _, r := range records {
		if at, ok := f.seen[r.Key]; ok && r.Offset <= at {
			continue
		}
		f.seen[r.Key] = r.Offset
		if r.Deleted {
			delete(f.seen, r.Key)
		}
		fresh = append(fresh, r)
	}
	return fresh
}
