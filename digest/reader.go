package digest

import (
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Reader takes a digest over into a table. It is a keyedlog.Handler.
type Reader struct {
	Table  *directory.Table
	Clock  bootclock.Clock
	Events *event.Recorder
	// marked is when the last mark was read, by the boot clock; zero if never.
	marked atomic.Int64
}

// Fresh tells whether the digest is complete and kept.
func (r *Reader) Fresh() bool {
	at := r.marked.Load()
	return at != 0 && r.Clock.Now()-time.Duration(at) <= StaleAfter
}

// Reset replaces the table by the digest, unless nobody has kept it yet.
func (r *Reader) Reset(records []keyedlog.Record) {
	var entries []directory.Entry
	marked := false
	for _, rec := range records {
		e, isEntry, err := Decode(rec)
		switch {
		case err != nil:
			r.Events.Record(event.BatchVoid, "topic", "digest", "key", rec.Key, "error", err)
		case isEntry:
			entries = append(entries, e)
		default:
			marked = true
		}
	}
	if !marked {
		return
	}
	r.Table.Replace(entries)
	r.marked.Store(int64(r.Clock.Now()))
	r.Events.Record(event.UpstreamListed, "entries", len(entries), "digest", true)
}

// Apply takes changes in order.
func (r *Reader) Apply(records []keyedlog.Record) {
	for _, rec := range records {
		if rec.Deleted {
			r.Table.Remove(rec.Key)
			continue
		}
		e, isEntry, err := Decode(rec)
		switch {
		case err != nil:
			r.Events.Record(event.BatchVoid, "topic", "digest", "key", rec.Key, "error", err)
		case isEntry:
			r.Table.Put(e)
		default:
			r.marked.Store(int64(r.Clock.Now()))
		}
	}
}

// Lost notes that entries may lapse with the store.
func (r *Reader) Lost(err error) {
	r.Table.StoreLost()
	r.Table.Expire()
	r.Events.Record(event.LogUnreachable, "topic", "digest", "error", err)
}

// Caught drops doubted upstreams whose time is over.
func (r *Reader) Caught() { r.Table.Expire() }
