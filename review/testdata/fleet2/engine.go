package fleet2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// TokensPerEvent is how many output tokens an event of a stream holds.
const TokensPerEvent = 6

// Engine is a stand-in of a model engine or of a plain service's engine as the pages describe it.
type Engine struct {
	ID, Service, Zone, Version string
	KVCapacity, Slots          int
	// FirstEvent and EventGap are the times until the first event and between two events. A plain service, without KVCapacity,
	// answers after FirstEvent.
	FirstEvent, EventGap time.Duration

	address  string
	listener net.Listener
	server   *http.Server
	born     int64
	stop     chan struct{}
	// left is set once the entry was removed.
	left bool

	mu       sync.Mutex
	sequence int
	running  int
	runs     []Run
}

// Run is a request that an engine began to work on.
type Run struct {
	ID, Tenant             string
	PromptTokens, Events   int64
	At                     time.Time
	Engine, Version, Ended string
}

// NewEngine starts an engine.
func NewEngine(id, service, zone string, kvCapacity, slots int) (*Engine, error) {
	l, err := net.Listen("tcp", "127.0.6.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{ID: id, Service: service, Zone: zone, Version: "v1", KVCapacity: kvCapacity, Slots: slots, FirstEvent: 20 * time.Millisecond, EventGap: 4 * time.Millisecond,
		address: l.Addr().String(), listener: l, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }() // until Close
	return e, nil
}

// Beat writes the engine's entry as often as the pages say, until the engine is closed.
func (e *Engine) Beat(store *Store) {
	for {
		e.register(store)
		select {
		case <-e.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (e *Engine) register(store *Store) { store.Put(wire.ServerTopic, e.ID, e.entry()) }

// entry returns the engine's next entry.
func (e *Engine) entry() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	entry := map[string]any{"service": e.Service, "address": e.address, "zone": e.Zone, "version": e.Version, "slots": e.Slots, "state": "ready",
		"warmupLeftMs": 0, "sequence": e.sequence, "born": e.born}
	raw, err := json.Marshal(entry)
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return raw
}

// BeatLate sends the next entry as Beat does, in a call that gets no answer and that the store executes after a delay. The engine
// goes on with its later entries meanwhile.
func (e *Engine) BeatLate(store *Store, delay time.Duration) {
	raw := e.entry()
	time.AfterFunc(delay, func() { store.Put(wire.ServerTopic, e.ID, raw) })
}

// Leave removes the engine's entry without a report that it drains, and stops the entries. It goes on serving.
func (e *Engine) Leave(store *Store) {
	close(e.stop)
	e.left = true
	e.Remove(store)
}

// Remove removes the engine's entry, as the engine does when it leaves, and as the store does once the engine is silent.
func (e *Engine) Remove(store *Store) { store.Put(wire.ServerTopic, e.ID, nil) }

// Close stops the engine.
func (e *Engine) Close() {
	if !e.left {
		close(e.stop)
	}
	_ = e.server.Close()
}

// Runs returns all runs so far.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=15")
	if id := r.Header.Get(wire.AttemptID); id != "" {
		h.Set(wire.AttemptID, id)
	}
	switch r.URL.Path {
	case wire.ReportPath:
		h.Set("Content-Type", "application/json")
		e.mu.Lock()
		running := e.running
		e.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"phase":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2,"queued":0,"active":%d,"kvInUse":0,"kvSize":%d,"kvHandles":0,"born":%d}`, running, e.KVCapacity, e.born)
		return
	case "/healthz":
		h.Set("Instance-Id", e.ID)
		return
	}
	if expected := r.Header.Get(wire.ExpectInstance); expected != "" && expected != e.ID {
		h.Set("Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	prompt, output, fits := int64(0), int64(0), true
	if e.KVCapacity > 0 {
		prompt, output, fits = sizes(r.Header.Get(wire.TokenCount), e.KVCapacity)
	}
	e.mu.Lock()
	full := e.running >= e.Slots
	h.Set(wire.Load, fmt.Sprintf("%d,0,%d", e.running, e.Slots))
	if full || !fits || r.Header.Get(wire.AttemptID) == "" {
		e.mu.Unlock()
		h.Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.runs = append(e.runs, Run{ID: r.Header.Get(wire.AttemptID), Tenant: r.Header.Get("Tenant"), PromptTokens: prompt, At: time.Now(), Engine: e.ID, Version: e.Version})
	at := len(e.runs) - 1
	e.mu.Unlock()
	events, ended := int64(0), ""
	switch {
	case e.KVCapacity > 0 && r.Header.Get("Accept") == JSON:
		events, ended = e.generate(w, r, output)
	case e.KVCapacity > 0:
		events, ended = e.stream(w, r, (output+TokensPerEvent-1)/TokensPerEvent)
	default:
		ended = e.answer(w, r)
	}
	e.mu.Lock()
	e.running--
	e.runs[at].Events, e.runs[at].Ended = events, ended
	e.mu.Unlock()
}

// sizes returns the tokens that a request declares, and whether it is no larger than an engine's memory.
func sizes(header string, capacity int) (prompt, output int64, fits bool) {
	first, second, _ := strings.Cut(header, ",")
	prompt, err1 := strconv.ParseInt(strings.TrimSpace(first), 10, 64)
	output, err2 := strconv.ParseInt(strings.TrimSpace(second), 10, 64)
	return prompt, output, err1 == nil && err2 == nil && prompt <= int64(capacity) && output <= int64(capacity)-prompt
}

// JSON is the media type of an answer that comes whole, with all of its output tokens.
const JSON = "application/json"

// generate makes a whole answer of a number of tokens.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, tokens int64) (events int64, ended string) {
	events = (tokens + TokensPerEvent - 1) / TokensPerEvent
	select {
	case <-r.Context().Done():
		return 0, "left"
	case <-time.After(e.FirstEvent + time.Duration(events)*e.EventGap):
	}
	w.Header().Set("Content-Type", JSON)
	w.Header().Set(wire.Stamp, "stamp-of-"+e.ID)
	if _, err := fmt.Fprintf(w, `{"tokens":%d,"text":%q}`, tokens, strings.Repeat("word ", int(tokens))); err != nil {
		return 0, "left"
	}
	return events, "done"
}

// answer sends the answer of a plain service.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request) string {
	select {
	case <-r.Context().Done():
		return "left"
	case <-time.After(e.FirstEvent):
	}
	w.Header().Set(wire.Stamp, "stamp-of-"+e.ID)
	if _, err := io.WriteString(w, "done "+r.Header.Get(wire.AttemptID)); err != nil {
		return "left"
	}
	return "done"
}

// stream sends the events of a run, from the one behind Last-Event-Id on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, last int64) (sent int64, ended string) {
	after, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64) // zero if there is none
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(wire.Stamp, "stamp-of-"+e.ID)
	h.Set("Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	wait := e.FirstEvent
	for id := after + 1; id <= last; id++ {
		select {
		case <-r.Context().Done():
			return sent, "left"
		case <-time.After(wait):
		}
		wait = e.EventGap
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", id, e.Version, strings.Repeat("w", 24)); err != nil {
			return sent, "left"
		}
		if controller.Flush() != nil {
			return sent, "left"
		}
		sent++
	}
	return sent, "done"
}
