package standin

import "sync"

// maxStreams is how many streams an engine keeps for resuming.
const maxStreams = 4096

// engineStream is the output of one request. The engine writes it until it is complete or
// cancelled, whether or not anyone reads.
type engineStream struct {
	mu     sync.Mutex
	events [][]byte
	ended  bool
	// cancelled is set if the stream ended without a terminal marker.
	cancelled bool
	changed   chan struct{}
}

func newEngineStream() *engineStream { return &engineStream{changed: make(chan struct{})} }

func (s *engineStream) write(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	s.notify()
}

func (s *engineStream) end(cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.cancelled = true, cancelled
	s.notify()
}

func (s *engineStream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the events from a number on, whether the stream has ended after them, and
// a channel that is closed when the stream grows or ends.
func (s *engineStream) read(from int) (events [][]byte, ended bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < len(s.events) {
		events = s.events[from:]
	}
	return events, s.ended, s.changed
}

// cancelledBefore reports whether the stream was cancelled and has no events from a number on.
func (s *engineStream) cancelledBefore(from int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled && from >= len(s.events)
}
