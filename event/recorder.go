package event

import (
	"fmt"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Event is one entry of the time line. Fields holds ids and values as text.
type Event struct {
	Stamp  Stamp
	Node   string
	Number Number
	Fields map[string]string
}

// Recorder keeps the latest events of one node in a ring and writes them to the
// log. It is safe for concurrent use.
type Recorder struct {
	hlc    *HLC
	node   string
	logger log.Logger

	mu      sync.Mutex
	ring    []Event
	next    int
	dropped uint64
}

// NewRecorder returns a recorder that holds at most capacity events; older ones
// are dropped and counted.
func NewRecorder(hlc *HLC, node string, capacity int, logger log.Logger) *Recorder {
	return &Recorder{hlc: hlc, node: node, logger: logger, ring: make([]Event, 0, capacity)}
}

// Record adds an event. The pairs are field names and values, alternating.
func (r *Recorder) Record(number Number, pairs ...any) {
	fields := make(map[string]string, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields[fmt.Sprint(pairs[i])] = fmt.Sprint(pairs[i+1])
	}
	r.store(Event{Stamp: r.hlc.Now(), Node: r.node, Number: number, Fields: fields})
	line := []any{"event", uint32(number), "name", number.Kind().Name, "node", r.node}
	_ = level.Info(r.logger).Log(append(line, pairs...)...)
}

func (r *Recorder) store(e Event) {
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

// Since returns the events that carry id in any field, oldest first; all of them
// for an empty id. The second value counts the events dropped so far.
func (r *Recorder) Since(id string) ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if e.carries(id) {
			found = append(found, e)
		}
	}
	return found, r.dropped
}

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
