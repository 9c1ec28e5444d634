package main

import (
	"context"
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

// heartbeat is how often an engine writes its entry.
const heartbeat = 1200 * time.Millisecond

// run is a request that an engine began to work on.
type run struct {
	ID, Engine, Method, Target, Tenant, Body string
	Born                                     int64
	Begun                                    time.Time
	State                                    string
}

// engineOptions describe an engine.
type engineOptions struct {
	id, service, zone, ip string
	slots, queue          int
	// work is how long a plain request takes.
	work func() time.Duration
	// events is the number of events of a stream, zero for a plain service; pause is the time between two.
	events int
	pause  time.Duration
	// keepAlive is the timeout that the engine states for idle connections.
	keepAlive time.Duration
}

// engine is an engine of the platform; it is started again as another incarnation.
type engine struct {
	engineOptions
	store *store
	log   *record

	mu       sync.Mutex
	server   *http.Server
	stop     context.CancelFunc
	address  string
	born     int64
	version  string
	sequence int
	state    string
	running  int
	waiting  int
	slot     chan struct{}
	runs     []*run
	// cut is set while the engine can't reach the store.
	cut bool
}

func newEngine(o engineOptions, s *store, log *record) *engine {
	return &engine{engineOptions: o, store: s, log: log, version: "v1"}
}

// start begins an incarnation that names born as its start, and registers it.
func (e *engine) start(born time.Time) error {
	if e.address == "" {
		e.address = net.JoinHostPort(e.ip, "8080")
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	server := &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: e.keepAlive}
	e.mu.Lock()
	e.server, e.stop, e.born, e.sequence, e.state = server, stop, born.UnixMilli(), 0, "ready"
	e.running, e.waiting, e.slot = 0, 0, make(chan struct{}, e.slots)
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // until it is closed
	e.register()
	go e.beat(ctx)
	e.log.line("engine %s starts, born %d", e.id, born.UnixMilli())
	return nil
}

func (e *engine) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.register()
		}
	}
}

// register writes the engine's entry; the store has accepted it when it returns.
func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == "" || e.cut {
		return
	}
	e.sequence++
	raw, _ := json.Marshal(map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, // always encodes
		"state": e.state, "warmupLeftMs": 0, "phase": "both", "models": []any{}, "sequence": e.sequence, "born": e.born})
	e.store.put(wire.ServerTopic, e.id, raw)
}

// crash ends the incarnation without a word: its connections break.
func (e *engine) crash() {
	e.mu.Lock()
	server, stop := e.server, e.stop
	e.state = ""
	e.mu.Unlock()
	stop()
	_ = server.Close()
	e.log.line("engine %s crashes", e.id)
}

// setCut cuts the engine from the store, or ends that. Its entry is removed after three heartbeat intervals of silence.
func (e *engine) setCut(cut bool) {
	e.mu.Lock()
	e.cut = cut
	e.mu.Unlock()
	e.log.line("engine %s is cut from the store: %v", e.id, cut)
	if !cut {
		e.register()
		return
	}
	time.AfterFunc(3*heartbeat, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.cut {
			e.store.put(wire.ServerTopic, e.id, nil)
			e.log.line("the entry of engine %s lapses", e.id)
		}
	})
}

// setVersion sets the version of the software that the engine starts with next.
func (e *engine) setVersion(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
}

// drain reports that the engine leaves, and returns when the store has accepted that.
func (e *engine) drain() time.Time {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.register()
	e.log.line("engine %s reports draining", e.id)
	return time.Now()
}

// exit ends a drained engine and removes its entry.
func (e *engine) exit() {
	e.mu.Lock()
	server, stop := e.server, e.stop
	e.state = ""
	e.mu.Unlock()
	stop()
	e.store.put(wire.ServerTopic, e.id, nil)
	_ = server.Close()
	e.log.line("engine %s exits", e.id)
}

// allRuns returns a copy of what ran so far.
func (e *engine) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]run, len(e.runs))
	for i, r := range e.runs {
		out[i] = *r
	}
	return out
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	born, state, slot := e.born, e.state, e.slot
	load := fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.slots)
	e.mu.Unlock()
	h := w.Header()
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(e.keepAlive.Seconds())))
	h.Set(wire.Load, load)
	if state != "ready" {
		h.Set("Connection", "close")
	}
	id := r.Header.Get(wire.AttemptID)
	if id != "" {
		h.Set(wire.AttemptID, id)
	}
	switch expected := r.Header.Get(wire.ExpectInstance); {
	case r.Method == http.MethodGet && r.URL.Path == "/healthz":
		h.Set("Instance-Id", e.id)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case r.Method == http.MethodGet && r.URL.Path == wire.ReportPath && e.events > 0:
		writeJSON(w, http.StatusOK, map[string]any{"phase": "both", "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "active": 0, "kvInUse": 0, "kvSize": 90000, "kvHandles": 0, "born": born})
		return
	case expected != "" && expected != e.id:
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	if !e.enter(ctx, slot) {
		h.Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave(slot)
	current := &run{ID: id, Engine: e.id, Method: r.Method, Target: r.RequestURI, Tenant: r.Header.Get("Tenant"), Body: string(body), Born: born, Begun: time.Now(), State: "running"}
	e.mu.Lock()
	e.runs = append(e.runs, current)
	e.mu.Unlock()
	state = e.work(ctx, w, r)
	e.mu.Lock()
	current.State = state
	e.mu.Unlock()
}

// enter waits for a slot; it returns false if the queue is full or the time is over.
func (e *engine) enter(ctx context.Context, slot chan struct{}) bool {
	select {
	case slot <- struct{}{}:
	default:
		e.mu.Lock()
		full := e.waiting >= e.queue
		if !full {
			e.waiting++
		}
		e.mu.Unlock()
		if full {
			return false
		}
		defer func() {
			e.mu.Lock()
			e.waiting--
			e.mu.Unlock()
		}()
		select {
		case slot <- struct{}{}:
		case <-ctx.Done():
			return false
		}
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	return true
}

func (e *engine) leave(slot chan struct{}) {
	<-slot
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
}

// plainBody is the body of a plain answer to a request.
func plainBody(id string) string { return "answer to " + id + " " + strings.Repeat("x", 760) }

// work does what the request asks for and returns how it ended.
func (e *engine) work(ctx context.Context, w http.ResponseWriter, r *http.Request) string {
	w.Header().Set(wire.Stamp, "stamp."+e.id+"."+r.Header.Get(wire.AttemptID))
	if e.events == 0 {
		select {
		case <-time.After(e.engineOptions.work()):
		case <-ctx.Done():
			if r.Context().Err() != nil {
				return "left"
			}
			w.WriteHeader(http.StatusGatewayTimeout)
			return "deadline"
		}
		_, _ = io.WriteString(w, plainBody(r.Header.Get(wire.AttemptID))) // a caller that left reads nothing
		return "done"
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if absent
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	flush := http.NewResponseController(w).Flush
	for i := after + 1; i <= e.events; i++ {
		select {
		case <-time.After(e.pause):
		case <-ctx.Done():
			return "left"
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", i, version, i); err != nil {
			return "left"
		}
		_ = flush() // as above
	}
	return "done"
}
