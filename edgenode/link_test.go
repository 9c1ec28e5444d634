package edgenode

import (
	"context"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// link is one direction of a link between two regions. Responses share it piece by piece; queued
// bytes are transferred even if nobody waits for them any more.
type link struct {
	// bytesPerSecond is the bandwidth.
	bytesPerSecond int
	// delay is the round-trip time while the link is idle.
	delay time.Duration

	mu      sync.Mutex
	freeAt  time.Time
	carried int
}

// linkChunk is how many bytes of a response are queued at once.
const linkChunk = 16 << 10

// transfer returns once that many bytes have crossed the link. It calls progress for each chunk.
func (l *link) transfer(ctx context.Context, bytes int, progress func()) error {
	return transferOver(ctx, bytes, progress, l)
}

// transferOver returns once that many bytes have crossed all links.
func transferOver(ctx context.Context, bytes int, progress func(), links ...*link) error {
	for _, l := range links {
		if err := sleep(ctx, l.delay); err != nil {
			return err
		}
	}
	for ; bytes > 0; bytes -= linkChunk {
		var wait time.Duration
		for _, l := range links {
			wait = max(wait, l.enqueue(min(bytes, linkChunk)))
		}
		if err := sleep(ctx, wait); err != nil {
			return err
		}
		progress()
	}
	return nil
}

// enqueue queues a chunk and returns how long it takes to cross the link.
func (l *link) enqueue(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	l.carried += bytes
	return l.freeAt.Sub(now)
}

// total returns how many bytes were sent over the link.
func (l *link) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// linkedTopic is a topic of a store behind a link. A read waits for a record.
type linkedTopic struct {
	keyedlog.Topic
	link *link
}

// throughLink wraps the topics of a store so that all access crosses a link.
func throughLink(t Topics, l *link) Topics {
	return Topics{Operators: &linkedTopic{t.Operators, l}, Upstreams: &linkedTopic{t.Upstreams, l}, Presence: &linkedTopic{t.Presence, l}, Streams: &linkedTopic{t.Streams, l},
		Spend: t.Spend.Map(func(topic keyedlog.Topic) keyedlog.Topic { return &linkedTopic{topic, l} }), Ledger: &linkedTopic{t.Ledger, l}, Grants: &linkedTopic{t.Grants, l}}
}

// responseOverhead is the size of a response without its records, in bytes.
const responseOverhead = 200

func responseSize(records []keyedlog.Record) int {
	bytes := responseOverhead
	for i := range records {
		bytes += len(records[i].Key) + len(records[i].Value)
	}
	return bytes
}

func (t *linkedTopic) Newest(ctx context.Context, progress func()) ([]keyedlog.Record, int64, error) {
	records, next, err := t.Topic.Newest(ctx, func() {})
	if err != nil {
		return nil, 0, err
	}
	return records, next, t.link.transfer(ctx, responseSize(records), progress)
}

func (t *linkedTopic) Probe(ctx context.Context) error {
	if err := t.link.transfer(ctx, responseOverhead, func() {}); err != nil {
		return err
	}
	return t.Topic.Probe(ctx)
}

func (t *linkedTopic) End(ctx context.Context) (int64, error) {
	end, err := t.Topic.End(ctx)
	if err != nil {
		return 0, err
	}
	return end, t.link.transfer(ctx, responseOverhead, func() {})
}

func (t *linkedTopic) Read(ctx context.Context, from int64, wait time.Duration, progress func()) ([]keyedlog.Record, int64, error) {
	const pollInterval = 20 * time.Millisecond
	for waited := time.Duration(0); ; waited += pollInterval {
		records, next, err := t.Topic.Read(ctx, from, 0, progress)
		if err != nil {
			return nil, 0, err
		}
		if len(records) > 0 || waited >= wait {
			return records, next, t.link.transfer(ctx, responseSize(records), progress)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return nil, 0, err
		}
	}
}

func (t *linkedTopic) Append(ctx context.Context, fence keyedlog.Fence, records ...keyedlog.Record) error {
	if err := t.link.transfer(ctx, responseOverhead, func() {}); err != nil {
		return err
	}
	return t.Topic.Append(ctx, fence, records...)
}
