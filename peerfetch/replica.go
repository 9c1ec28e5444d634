package peerfetch

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Replica serves the newest records of a topic to peers. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	records map[string]keyedlog.Record
	// completeFrom is the offset from which all records are known, including those that delete a
	// key; next is the offset up to which the topic was read. Both are negative before the first
	// read.
	completeFrom, next int64
	// advanced is closed and replaced whenever next grows.
	advanced chan struct{}

	// encoded is the last reply that was compressed.
	encoded replyCache
	clock   bootclock.Clock
	// activeReads is the number of reads in progress; lastProgressAt is when a part of the last
	// one arrived.
	activeReads    atomic.Int64
	lastProgressAt atomic.Int64
}

// progressTimeout is how long after a part of a read the rest is still expected.
const progressTimeout = 600 * time.Millisecond

// noProgress is the value of lastProgressAt if no part has arrived.
const noProgress = math.MinInt64

// NewReplica returns an empty replica.
func NewReplica(clock bootclock.Clock) *Replica {
	return &Replica{completeFrom: -1, next: -1, advanced: make(chan struct{}), clock: clock}
}

// readFunc reads from the store and calls progress for each part that arrives.
type readFunc func(progress func()) (records []keyedlog.Record, next int64, err error)

// trackRead runs a read and records its progress. If records are known to be there, the node counts as
// receiving from the start, so that others don't begin to read beside it.
func (rep *Replica) trackRead(expected bool, progress func(), read readFunc) ([]keyedlog.Record, int64, error) {
	rep.lastProgressAt.Store(noProgress)
	if expected {
		rep.lastProgressAt.Store(int64(rep.clock.Now()))
	}
	rep.activeReads.Add(1)
	defer rep.activeReads.Add(-1)
	return read(func() {
		rep.lastProgressAt.Store(int64(rep.clock.Now()))
		progress()
	})
}

// receiving reports whether records are currently arriving.
func (rep *Replica) receiving() bool {
	at := rep.lastProgressAt.Load()
	return rep.activeReads.Load() > 0 && at != noProgress && rep.clock.Now()-time.Duration(at) < progressTimeout
}

// Next returns the offset up to which the topic was read; negative before the first read.
func (rep *Replica) Next() int64 {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.next
}

// Reset replaces all records by the newest ones.
func (rep *Replica) Reset(records []keyedlog.Record, next int64) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if next < rep.next {
		return // a read that finished late
	}
	rep.records = make(map[string]keyedlog.Record, len(records))
	rep.merge(records)
	rep.completeFrom, rep.next = next, next
	rep.notifyAdvanced()
}

// Extend adds the records from an offset on.
func (rep *Replica) Extend(from int64, records []keyedlog.Record, next int64) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.next < 0 || from > rep.next || next <= rep.next {
		return
	}
	rep.merge(records)
	rep.next = next
	rep.notifyAdvanced()
}

func (rep *Replica) merge(records []keyedlog.Record) {
	for _, r := range records {
		if old, ok := rep.records[r.Key]; !ok || old.Offset <= r.Offset {
			rep.records[r.Key] = r
		}
	}
}

func (rep *Replica) notifyAdvanced() {
	close(rep.advanced)
	rep.advanced = make(chan struct{})
}

// Handle serves a request. It waits up to WaitMs until the topic has been read up to End.
func (rep *Replica) Handle(ctx context.Context, req Request) Reply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMs)*time.Millisecond)
	defer cancel()
	for {
		reply, advanced := rep.tryHandle(req)
		if !reply.Behind || ctx.Err() != nil {
			return reply
		}
		select {
		case <-advanced:
		case <-ctx.Done():
		}
	}
}

func (rep *Replica) tryHandle(req Request) (Reply, <-chan struct{}) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	switch {
	case rep.next < 0 || rep.next < req.End:
		return Reply{Behind: true, Receiving: rep.receiving(), Next: rep.next}, rep.advanced
	case req.From >= 0 && req.From < rep.completeFrom:
		return Reply{Incomplete: true, Next: rep.next}, nil
	}
	reply := Reply{Next: rep.next}
	if req.StatusOnly {
		return reply, nil
	}
	for _, r := range rep.records {
		if r.Offset >= req.From && (req.From >= 0 || !r.Deleted) {
			reply.Records = append(reply.Records, r)
		}
	}
	slices.SortFunc(reply.Records, func(a, b keyedlog.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return reply, nil
}
