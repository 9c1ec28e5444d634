package event

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Event is one entry of the timeline. Fields holds IDs and other values as text.
type Event struct {
	Timestamp Timestamp
	Node      string
	Number    Number
	Fields    map[string]string
}

// ringEntry is an event in the ring. Its values are formatted only on demand, since
// formatting each event was most of the cost of recording for a request.
type ringEntry struct {
	timestamp Timestamp
	number    Number
	keyvals   []any
}

// Recorder keeps the latest events of one node in a ring buffer and writes all events to
// the log. It is safe for concurrent use.
type Recorder struct {
	hlc    *HLC
	node   string
	logger log.Logger
	// nopLogger reports that the logger discards everything.
	nopLogger bool
	counts    counts

	mu      sync.Mutex
	ring    []ringEntry
	next    int
	dropped uint64
}

// NewRecorder returns a recorder that holds at most capacity events; older events are
// dropped and counted.
func NewRecorder(hlc *HLC, node string, capacity int, logger log.Logger) *Recorder {
	return &Recorder{hlc: hlc, node: node, logger: logger, nopLogger: logger == log.NewNopLogger(), counts: newCounts(), ring: make([]ringEntry, 0, capacity)}
}

// Record adds an event. keyvals alternates field names and values; the recorder retains
// the slice.
func (r *Recorder) Record(number Number, keyvals ...any) {
	for i := 1; i < len(keyvals); i += 2 {
		keyvals[i] = immutableValue(keyvals[i])
	}
	r.counts.add(number)
	r.store(ringEntry{timestamp: r.hlc.Now(), number: number, keyvals: keyvals})
	if r.nopLogger {
		return
	}
	line := []any{"event", uint32(number), "name", number.Kind().Name, "node", r.node}
	_ = level.Info(r.logger).Log(append(line, keyvals...)...)
}

// immutableValue returns a value that can be formatted later with the same result:
// numbers, text and comparable structs unchanged, and anything that could be modified
// meanwhile as text.
func immutableValue(value any) any {
	switch v := value.(type) {
	case string, uint64, uint32, int, int64, bool, time.Duration:
		return v
	case error:
		return v.Error()
	}
	if reflect.TypeOf(value) != nil && reflect.TypeOf(value).Comparable() && reflect.TypeOf(value).Kind() == reflect.Struct {
		return value
	}
	return fmt.Sprint(value)
}

func (r *Recorder) store(e ringEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
	r.dropped++
}

// Find returns the events with id in any field, oldest first, or all events for an empty
// id. The second value is the number of events dropped so far.
func (r *Recorder) Find(id string) ([]Event, uint64) {
	var found []Event
	all, dropped := r.snapshot()
	for _, e := range all {
		if event := r.toEvent(e); event.mentions(id) {
			found = append(found, event)
		}
	}
	return found, dropped
}

// After returns the newest events after a timestamp, at most limit of them, oldest first,
// and the number of older ones that were omitted.
func (r *Recorder) After(t Timestamp, limit int) (events []Event, omitted uint64) {
	all, _ := r.snapshot()
	for i := len(all) - 1; i >= 0 && all[i].timestamp > t; i-- {
		if len(events) == limit {
			omitted++
			continue
		}
		events = append(events, r.toEvent(all[i]))
	}
	slices.Reverse(events)
	return events, omitted
}

// snapshot returns the ring's events, oldest first. They are sorted, since goroutines may
// store events in another order than they obtained the timestamps.
func (r *Recorder) snapshot() ([]ringEntry, uint64) {
	r.mu.Lock()
	all := append(append(make([]ringEntry, 0, len(r.ring)), r.ring[r.next:]...), r.ring[:r.next]...)
	dropped := r.dropped
	r.mu.Unlock()
	slices.SortFunc(all, func(a, b ringEntry) int { return cmp.Compare(a.timestamp, b.timestamp) })
	return all, dropped
}

func (r *Recorder) toEvent(e ringEntry) Event {
	fields := make(map[string]string, len(e.keyvals)/2)
	for i := 0; i+1 < len(e.keyvals); i += 2 {
		fields[fmt.Sprint(e.keyvals[i])] = fmt.Sprint(e.keyvals[i+1])
	}
	return Event{Timestamp: e.timestamp, Node: r.node, Number: e.number, Fields: fields}
}

// Node returns the name of the node whose events are recorded.
func (r *Recorder) Node() string { return r.node }

// Clock returns the recorder's hybrid logical clock.
func (r *Recorder) Clock() *HLC { return r.hlc }

func (e Event) mentions(id string) bool {
	if id == "" {
		return true
	}
	for _, value := range e.Fields {
		if value == id {
			return true
		}
	}
	return false
}
