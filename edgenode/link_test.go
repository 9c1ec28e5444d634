package edgenode

import (
	"context"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// link is a link between two regions, in one direction. Answers share it piece by piece; what
// was handed to it is carried also when nobody waits for it any more.
type link struct {
	// perSecond is how many bytes it carries.
	perSecond int
	// delay is how long a round trip takes while the link is idle.
	delay time.Duration

	mu      sync.Mutex
	free    time.Time
	carried int
}

// linkPiece is how many bytes of an answer are handed to a link at once.
const linkPiece = 16 << 10

// carry returns once so many bytes have crossed the link. progress is called for each piece.
func (l *link) carry(ctx context.Context, bytes int, progress func()) error {
	if err := pause(ctx, l.delay); err != nil {
		return err
	}
	for ; bytes > 0; bytes -= linkPiece {
		if err := pause(ctx, l.enqueue(min(bytes, linkPiece))); err != nil {
			return err
		}
		progress()
	}
	return nil
}

// enqueue returns how long a piece takes to cross the link.
func (l *link) enqueue(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / time.Duration(l.perSecond))
	l.carried += bytes
	return l.free.Sub(now)
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// farTopic is a topic of a store beyond a link. A reading waits for a record.
type farTopic struct {
	keyedlog.Topic
	link *link
}

// beyond returns the topics of a store as they are seen over a link.
func beyond(t Topics, l *link) Topics {
	return Topics{Operators: &farTopic{t.Operators, l}, Upstreams: &farTopic{t.Upstreams, l}, Presence: &farTopic{t.Presence, l},
		Spend: &farTopic{t.Spend, l}, Ledger: &farTopic{t.Ledger, l}, Grants: &farTopic{t.Grants, l}}
}

// answerHead is the size of an answer without its records, in bytes.
const answerHead = 200

func size(records []keyedlog.Record) int {
	bytes := answerHead
	for i := range records {
		bytes += len(records[i].Key) + len(records[i].Value)
	}
	return bytes
}

func (t *farTopic) Newest(ctx context.Context, progress func()) ([]keyedlog.Record, int64, error) {
	records, next, err := t.Topic.Newest(ctx, func() {})
	if err != nil {
		return nil, 0, err
	}
	return records, next, t.link.carry(ctx, size(records), progress)
}

func (t *farTopic) Probe(ctx context.Context) error {
	if err := t.link.carry(ctx, answerHead, func() {}); err != nil {
		return err
	}
	return t.Topic.Probe(ctx)
}

func (t *farTopic) End(ctx context.Context) (int64, error) {
	end, err := t.Topic.End(ctx)
	if err != nil {
		return 0, err
	}
	return end, t.link.carry(ctx, answerHead, func() {})
}

func (t *farTopic) Read(ctx context.Context, from int64, wait time.Duration, progress func()) ([]keyedlog.Record, int64, error) {
	const look = 20 * time.Millisecond
	for waited := time.Duration(0); ; waited += look {
		records, next, err := t.Topic.Read(ctx, from, 0, progress)
		if err != nil {
			return nil, 0, err
		}
		if len(records) > 0 || waited >= wait {
			return records, next, t.link.carry(ctx, size(records), progress)
		}
		if err := pause(ctx, look); err != nil {
			return nil, 0, err
		}
	}
}

func (t *farTopic) Append(ctx context.Context, fence keyedlog.Fence, records ...keyedlog.Record) error {
	if err := t.link.carry(ctx, answerHead, func() {}); err != nil {
		return err
	}
	return t.Topic.Append(ctx, fence, records...)
}
