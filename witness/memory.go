package witness

import (
	"sync"

	"google.golang.org/protobuf/proto"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// maxRemembered bounds what a node remembers for others, about 150 MB. A full
// memory refuses, and the sender turns to another node.
const maxRemembered = 500_000

// Store is what other nodes told this one of their open requests, by the
// incarnation that a request is billed to. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	entries map[string]map[string]remembered
	count   int
}

// remembered is what is known of one request.
type remembered struct {
	*fleetv1.OpenRequest
	// own tells that its own node said that it has finished.
	own bool
}

// NewStore returns an empty memory.
func NewStore() *Store {
	return &Store{entries: map[string]map[string]remembered{}}
}

// Update takes in what an incarnation said of its own requests or passed on of others'.
func (m *Store) Update(from string, said *fleetv1.Witness) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, request := range said.GetForget() {
		m.forget(request)
	}
	if m.count+len(said.GetOpen()) > maxRemembered {
		return result.New(result.NoWitness, "the witness's memory is full")
	}
	for _, open := range said.GetOpen() {
		m.put(from, open)
	}
	return nil
}

// put keeps the first word that a request has finished: messages can overtake each
// other, and an older "open" must not undo it. The word of its own node goes before an
// engine's count: the node may have billed less than the engine produced.
func (m *Store) put(from string, open *fleetv1.OpenRequest) {
	id, ok := budget.ParseRequestID(open.GetRequest())
	if !ok {
		return
	}
	held := m.entries[id.Incarnation]
	if held == nil {
		held = map[string]remembered{}
		m.entries[id.Incarnation] = held
	}
	before, known := held[open.GetRequest()]
	if !known {
		m.count++
	}
	own := from == id.Incarnation && open.GetFinished()
	if !before.GetFinished() || own && !before.own {
		held[open.GetRequest()] = remembered{open, own}
	}
}

func (m *Store) forget(request string) {
	id, ok := budget.ParseRequestID(request)
	if _, known := m.entries[id.Incarnation][request]; !ok || !known {
		return
	}
	delete(m.entries[id.Incarnation], request)
	m.count--
	if len(m.entries[id.Incarnation]) == 0 {
		delete(m.entries, id.Incarnation)
	}
}

// Report returns what is remembered of requests billed to an incarnation.
func (m *Store) Report(incarnation string) []*fleetv1.OpenRequest {
	return m.report(incarnation, func(remembered) bool { return true })
}

// Finished returns the requests that an incarnation itself said to have finished.
func (m *Store) Finished(incarnation string) []*fleetv1.OpenRequest {
	return m.report(incarnation, func(r remembered) bool { return r.own })
}

func (m *Store) report(incarnation string, wanted func(remembered) bool) []*fleetv1.OpenRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	var requests []*fleetv1.OpenRequest
	for _, held := range m.entries[incarnation] {
		if wanted(held) {
			requests = append(requests, proto.CloneOf(held.OpenRequest))
		}
	}
	return requests
}

// Incarnations returns for which incarnations something is remembered.
func (m *Store) Incarnations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []string
	for incarnation := range m.entries {
		all = append(all, incarnation)
	}
	return all
}

// All returns everything that is remembered.
func (m *Store) All() []*fleetv1.OpenRequest {
	var all []*fleetv1.OpenRequest
	for _, incarnation := range m.Incarnations() {
		all = append(all, m.Report(incarnation)...)
	}
	return all
}

// Len returns how many requests are remembered.
func (m *Store) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count
}

// Folded forgets what the log shows to be settled.
func (m *Store) Folded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, verdict := range verdicts {
		if !verdict.OK() {
			continue
		}
		switch body := batch.GetEntries()[i].GetBody().(type) {
		case *recordv1.Entry_Settlements:
			for _, s := range body.Settlements.GetSettlements() {
				m.forget(s.GetRequest())
			}
			if body.Settlements.GetIncarnation() == batch.GetWriter() {
				m.forgetBelow(batch.GetWriter(), body.Settlements.GetOldestOpen())
			}
		case *recordv1.Entry_RecoveryDone:
			m.forgetAll(body.RecoveryDone.GetIncarnation())
		case *recordv1.Entry_Close:
			if body.Close.GetIncarnation() == batch.GetWriter() {
				m.forgetAll(batch.GetWriter())
			}
		}
	}
}

// forgetBelow forgets requests that were billed nothing: they never show in the
// log, except by the counter below which nothing is open.
func (m *Store) forgetBelow(incarnation string, oldestOpen uint64) {
	for request := range m.entries[incarnation] {
		if id, ok := budget.ParseRequestID(request); ok && id.Counter < oldestOpen {
			m.forget(request)
		}
	}
}

// SetEngineUsage notes what an engine says of a request whose node is silent, before the
// engine forgets it.
func (m *Store) SetEngineUsage(request string, used uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id, ok := budget.ParseRequestID(request)
	if !ok {
		return
	}
	if held, known := m.entries[id.Incarnation][request]; known && !held.GetFinished() {
		counted := proto.CloneOf(held.OpenRequest)
		counted.Finished = true
		counted.Used = used
		m.entries[id.Incarnation][request] = remembered{OpenRequest: counted}
	}
}

func (m *Store) forgetAll(incarnation string) {
	m.count -= len(m.entries[incarnation])
	delete(m.entries, incarnation)
}
