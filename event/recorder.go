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

// Event is one entry of the time line. Fields holds ids and values as text.
type Event struct {
	Timestamp Timestamp
	Node      string
	Number    Number
	Fields    map[string]string
}

// held is an event as the ring keeps it: its values become text only when somebody
// asks. Making text for each event took most of what recording cost a request.
type held struct {
	stamp  Timestamp
	number Number
	pairs  []any
}

// Recorder keeps the latest events of one node in a ring and writes them to the
// log. It is safe for concurrent use.
type Recorder struct {
	hlc    *HLC
	node   string
	logger log.Logger
	// quiet tells that the logger writes nothing.
	quiet  bool
	counts counts

	mu      sync.Mutex
	ring    []held
	next    int
	dropped uint64
}

// NewRecorder returns a recorder that holds at most capacity events; older ones
// are dropped and counted.
func NewRecorder(hlc *HLC, node string, capacity int, logger log.Logger) *Recorder {
	return &Recorder{hlc: hlc, node: node, logger: logger, quiet: logger == log.NewNopLogger(), counts: newCounts(), ring: make([]held, 0, capacity)}
}

// Record adds an event. The pairs are field names and values, alternating; the
// recorder keeps the slice.
func (r *Recorder) Record(number Number, pairs ...any) {
	for i := 1; i < len(pairs); i += 2 {
		pairs[i] = lasting(pairs[i])
	}
	r.counts.add(number)
	r.store(held{stamp: r.hlc.Now(), number: number, pairs: pairs})
	if r.quiet {
		return
	}
	line := []any{"event", uint32(number), "name", number.Kind().Name, "node", r.node}
	_ = level.Info(r.logger).Log(append(line, pairs...)...)
}

// lasting returns a value that reads the same later: numbers, text and small
// structs as they are, anything that could change meanwhile as text.
func lasting(value any) any {
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

func (r *Recorder) store(e held) {
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

// Find returns the events that carry id in any field, oldest first; all of them
// for an empty id. The second value counts the events dropped so far.
func (r *Recorder) Find(id string) ([]Event, uint64) {
	var found []Event
	all, dropped := r.snapshot()
	for _, e := range all {
		if event := r.event(e); event.carries(id) {
			found = append(found, event)
		}
	}
	return found, dropped
}

// After returns the newest events after a stamp, at most limit of them, oldest
// first, and how many older ones were left out.
func (r *Recorder) After(stamp Timestamp, limit int) (events []Event, left uint64) {
	all, _ := r.snapshot()
	for i := len(all) - 1; i >= 0 && all[i].stamp > stamp; i-- {
		if len(events) == limit {
			left++
			continue
		}
		events = append(events, r.event(all[i]))
	}
	slices.Reverse(events)
	return events, left
}

// snapshot returns the ring, oldest first. Two goroutines may store in another
// order than they drew their stamps, so it is sorted.
func (r *Recorder) snapshot() ([]held, uint64) {
	r.mu.Lock()
	all := append(append(make([]held, 0, len(r.ring)), r.ring[r.next:]...), r.ring[:r.next]...)
	dropped := r.dropped
	r.mu.Unlock()
	slices.SortFunc(all, func(a, b held) int { return cmp.Compare(a.stamp, b.stamp) })
	return all, dropped
}

func (r *Recorder) event(e held) Event {
	fields := make(map[string]string, len(e.pairs)/2)
	for i := 0; i+1 < len(e.pairs); i += 2 {
		fields[fmt.Sprint(e.pairs[i])] = fmt.Sprint(e.pairs[i+1])
	}
	return Event{Timestamp: e.stamp, Node: r.node, Number: e.number, Fields: fields}
}

// Node returns the name under which events are recorded here.
func (r *Recorder) Node() string { return r.node }

// Clock returns the recorder's hybrid logical clock.
func (r *Recorder) Clock() *HLC { return r.hlc }

func (e Event) carries(id string) bool {
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
