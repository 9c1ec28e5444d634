package digest

import (
	"maps"
	"slices"
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
	// marked is when the last mark was read, or the digest at first, by the boot clock; zero
	// if nobody has kept it yet.
	marked atomic.Int64
	// pending is the digest as read at first, until a new mark tells that it is still kept.
	// What keepers left long ago would send callers to upstreams that are gone.
	pending map[string]directory.Entry
}

// Fresh tells whether the digest is kept, or was read at first just now.
func (r *Reader) Fresh() bool {
	at := r.marked.Load()
	return at != 0 && r.Clock.Now()-time.Duration(at) <= StaleAfter
}

// Reset reads the digest at first. The table stays as it is until the next mark.
func (r *Reader) Reset(records []keyedlog.Record) {
	r.pending = make(map[string]directory.Entry, len(records))
	r.marked.Store(0)
	for _, rec := range records {
		if rec.Key == markKey {
			r.marked.Store(int64(r.Clock.Now()))
		}
		r.hold(rec)
	}
}

// Apply takes changes in order.
func (r *Reader) Apply(records []keyedlog.Record) {
	for _, rec := range records {
		switch {
		case rec.Key == markKey:
			r.marked.Store(int64(r.Clock.Now()))
			r.believe()
		case r.pending != nil:
			r.hold(rec)
		case rec.Deleted:
			r.Table.Remove(rec.Key)
		default:
			if e, ok := r.decode(rec); ok {
				r.Table.Put(e)
			}
		}
	}
}

// hold takes a record into what is pending.
func (r *Reader) hold(rec keyedlog.Record) {
	if rec.Deleted {
		delete(r.pending, rec.Key)
		return
	}
	if e, ok := r.decode(rec); ok {
		r.pending[rec.Key] = e
	}
}

// believe replaces the table by what is pending.
func (r *Reader) believe() {
	if r.pending == nil {
		return
	}
	r.Table.Replace(slices.Collect(maps.Values(r.pending)))
	r.Events.Record(event.UpstreamListed, "entries", len(r.pending), "digest", true)
	r.pending = nil
}

func (r *Reader) decode(rec keyedlog.Record) (directory.Entry, bool) {
	e, isEntry, err := Decode(rec)
	if err != nil {
		r.Events.Record(event.BatchVoid, "topic", "digest", "key", rec.Key, "error", err)
		return e, false
	}
	return e, isEntry
}

// Lost notes that entries may lapse with the store.
func (r *Reader) Lost(err error) {
	r.Table.StoreLost()
	r.Table.Expire()
	r.Events.Record(event.LogUnreachable, "topic", "digest", "error", err)
}

// Caught drops doubted upstreams whose time is over.
func (r *Reader) Caught() { r.Table.Expire() }
