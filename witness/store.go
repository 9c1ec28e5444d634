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

// maxStored bounds the requests that a node stores for others, about 150 MB. A full store
// refuses updates, and the sender turns to another node.
const maxStored = 500_000

// Store holds the open requests reported by other nodes, by the incarnation that a request
// is billed to. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	entries map[string]map[string]storedRequest
	count   int
}

// storedRequest is the last known state of a request.
type storedRequest struct {
	*fleetv1.OpenRequest
	// fromOwner is set if the request's own node reported it as finished.
	fromOwner bool
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{entries: map[string]map[string]storedRequest{}}
}

// Update applies a message from an incarnation about its own requests or, as a witness, those
// of others.
func (s *Store) Update(from string, message *fleetv1.Witness) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range message.GetForget() {
		s.remove(request)
	}
	if s.count+len(message.GetOpen()) > maxStored {
		return result.New(result.NoWitness, "the witness's memory is full")
	}
	for _, open := range message.GetOpen() {
		s.merge(from, open)
	}
	return nil
}

// merge keeps the first report that a request has finished: messages can arrive out of
// order, and an older open state must not undo it. A report by the request's own node
// replaces an engine's usage: the node may have billed less than the engine produced.
func (s *Store) merge(from string, open *fleetv1.OpenRequest) {
	id, ok := budget.ParseRequestID(open.GetRequest())
	if !ok {
		return
	}
	requests := s.entries[id.Incarnation]
	if requests == nil {
		requests = map[string]storedRequest{}
		s.entries[id.Incarnation] = requests
	}
	stored, known := requests[open.GetRequest()]
	if !known {
		s.count++
	}
	fromOwner := from == id.Incarnation && open.GetFinished()
	if !stored.GetFinished() || fromOwner && !stored.fromOwner {
		requests[open.GetRequest()] = storedRequest{open, fromOwner}
	}
}

func (s *Store) remove(request string) {
	id, ok := budget.ParseRequestID(request)
	if _, known := s.entries[id.Incarnation][request]; !ok || !known {
		return
	}
	delete(s.entries[id.Incarnation], request)
	s.count--
	if len(s.entries[id.Incarnation]) == 0 {
		delete(s.entries, id.Incarnation)
	}
}

// Report returns the stored requests billed to an incarnation.
func (s *Store) Report(incarnation string) []*fleetv1.OpenRequest {
	return s.filter(incarnation, func(storedRequest) bool { return true })
}

// Finished returns the requests that an incarnation itself reported as finished.
func (s *Store) Finished(incarnation string) []*fleetv1.OpenRequest {
	return s.filter(incarnation, func(r storedRequest) bool { return r.fromOwner })
}

func (s *Store) filter(incarnation string, wanted func(storedRequest) bool) []*fleetv1.OpenRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var requests []*fleetv1.OpenRequest
	for _, stored := range s.entries[incarnation] {
		if wanted(stored) {
			requests = append(requests, proto.CloneOf(stored.OpenRequest))
		}
	}
	return requests
}

// Incarnations returns the incarnations that have stored requests.
func (s *Store) Incarnations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for incarnation := range s.entries {
		all = append(all, incarnation)
	}
	return all
}

// All returns all stored requests.
func (s *Store) All() []*fleetv1.OpenRequest {
	var all []*fleetv1.OpenRequest
	for _, incarnation := range s.Incarnations() {
		all = append(all, s.Report(incarnation)...)
	}
	return all
}

// Len returns the number of stored requests.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// HandleFolded removes the requests that the log shows as settled.
func (s *Store) HandleFolded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, verdict := range verdicts {
		if !verdict.OK() {
			continue
		}
		switch body := batch.GetEntries()[i].GetBody().(type) {
		case *recordv1.Entry_Settlements:
			for _, settlement := range body.Settlements.GetSettlements() {
				s.remove(settlement.GetRequest())
			}
			if body.Settlements.GetIncarnation() == batch.GetWriter() {
				s.removeBelow(batch.GetWriter(), body.Settlements.GetOldestOpen())
			}
		case *recordv1.Entry_RecoveryDone:
			s.removeAll(body.RecoveryDone.GetIncarnation())
		case *recordv1.Entry_Close:
			if body.Close.GetIncarnation() == batch.GetWriter() {
				s.removeAll(batch.GetWriter())
			}
		}
	}
}

// removeBelow removes an incarnation's requests with a counter below oldestOpen, none of
// which is open. Requests billed nothing appear in the log in no other way.
func (s *Store) removeBelow(incarnation string, oldestOpen uint64) {
	for request := range s.entries[incarnation] {
		if id, ok := budget.ParseRequestID(request); ok && id.Counter < oldestOpen {
			s.remove(request)
		}
	}
}

// SetEngineUsage stores the usage that an engine reports for a request of a silent node,
// before the engine forgets it.
func (s *Store) SetEngineUsage(request string, used uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := budget.ParseRequestID(request)
	if !ok {
		return
	}
	if stored, known := s.entries[id.Incarnation][request]; known && !stored.GetFinished() {
		updated := proto.CloneOf(stored.OpenRequest)
		updated.Finished = true
		updated.Used = used
		s.entries[id.Incarnation][request] = storedRequest{OpenRequest: updated}
	}
}

func (s *Store) removeAll(incarnation string) {
	s.count -= len(s.entries[incarnation])
	delete(s.entries, incarnation)
}
