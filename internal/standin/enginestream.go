package standin

import "sync"

// keptStreams is how many streams an engine keeps for readers that come later.
const keptStreams = 4096

// engineStream is the output of one request. The engine goes on writing it whoever
// reads, until it is done or cancelled.
type engineStream struct {
	mu     sync.Mutex
	events [][]byte
	ended  bool
	// cancelled streams have no terminal marker.
	cancelled bool
	grown     chan struct{}
}

func newEngineStream() *engineStream { return &engineStream{grown: make(chan struct{})} }

func (s *engineStream) write(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	s.tell()
}

func (s *engineStream) end(cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.cancelled = true, cancelled
	s.tell()
}

func (s *engineStream) tell() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// read returns the events from a number on, whether the stream has ended after
// them, and a channel that is closed when it grows.
func (s *engineStream) read(from int) (events [][]byte, ended bool, grown <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < len(s.events) {
		events = s.events[from:]
	}
	return events, s.ended, s.grown
}

// gone tells that a cancelled stream has nothing from a number on.
func (s *engineStream) gone(from int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled && from >= len(s.events)
}
