package placement

import "sync"

// sizeWeight is the least weight of a request in the mean size: a long prompt among fifty shows.
const sizeWeight = 0.02

// sizeTracker tracks the sizes of the requests that this node sent to each service. It is safe for concurrent use.
type sizeTracker struct {
	mu       sync.Mutex
	services map[string]sizes
}

// sizes are the means of the tokens of requests and of their squares.
type sizes struct {
	mean, square float64
	count        int
}

func (t *sizeTracker) observe(service string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services == nil {
		t.services = make(map[string]sizes)
	}
	s := t.services[service]
	s.count++
	weight, size := max(sizeWeight, 1/float64(s.count)), float64(tokens)
	s.mean += weight * (size - s.mean)
	s.square += weight * (size*size - s.square)
	t.services[service] = s
}

func (t *sizeTracker) of(service string) sizes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.services[service]
}
