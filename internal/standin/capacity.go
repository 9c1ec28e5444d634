package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Capacity limits how many requests an upstream runs and queues, and makes it fall over if it has to reject
// too many.
type Capacity struct {
	Slots, Queue int
	// Work is how long a request runs.
	Work time.Duration
	// Brittle says in each answer that the upstream falls over if it rejects more than Limit requests in a
	// second; it is down for DownTime then.
	Brittle  bool
	Limit    int
	DownTime time.Duration
	// RequestsPerSecond, if not zero, is named in each answer as what the upstream takes from all nodes
	// together. It doesn't reject what exceeds that.
	RequestsPerSecond float64
}

// CapacityHeaders are the names of the headers in which an upstream says something of itself; an empty one
// is left out.
type CapacityHeaders struct{ Brittle, NotRun, Load, Limit string }

// CapacityCounts are what an upstream with a capacity has seen.
type CapacityCounts struct{ Ran, Falls int }

// CapacityServer admits requests within a capacity.
type CapacityServer struct {
	capacity Capacity
	headers  CapacityHeaders

	mu    sync.Mutex
	freed *sync.Cond
	// open counts the requests that run or wait.
	open, running int
	rejections    []time.Time
	downUntil     time.Time
	counts        CapacityCounts
	arrivals      []time.Time
}

// NewCapacityServer returns a server on which nothing runs.
func NewCapacityServer(c Capacity, headers CapacityHeaders) *CapacityServer {
	s := &CapacityServer{capacity: c, headers: headers}
	s.freed = sync.NewCond(&s.mu)
	return s
}

// Counts returns the counts so far.
func (s *CapacityServer) Counts() CapacityCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetRequestsPerSecond replaces the limit that the upstream names; zero for none.
func (s *CapacityServer) SetRequestsPerSecond(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.RequestsPerSecond = limit
}

// MostWithin returns the largest number of requests that arrived within a span, from a time on.
func (s *CapacityServer) MostWithin(span time.Duration, from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for i, at := range s.arrivals {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(s.arrivals[first]) >= span {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// ArrivedSince returns how many requests arrived from a time on.
func (s *CapacityServer) ArrivedSince(from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.arrivals {
		if !at.Before(from) {
			count++
		}
	}
	return count
}

// Run runs a request if there is room for it, and writes the rejection otherwise. While the upstream is
// down it aborts the connection.
func (s *CapacityServer) Run(w http.ResponseWriter) (ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortIfDown()
	s.arrivals = append(s.arrivals, time.Now())
	if s.capacity.RequestsPerSecond > 0 {
		s.setHeader(w, s.headers.Limit, strconv.FormatFloat(s.capacity.RequestsPerSecond, 'g', -1, 64))
	}
	if s.capacity.Brittle {
		s.setHeader(w, s.headers.Brittle, strconv.Itoa(s.capacity.Limit))
	}
	if s.open >= s.capacity.Slots+s.capacity.Queue {
		s.reject(w)
		return false
	}
	s.open++
	for s.running >= s.capacity.Slots {
		s.freed.Wait()
	}
	s.running++
	s.mu.Unlock()
	time.Sleep(s.capacity.Work)
	s.mu.Lock()
	s.open--
	s.running--
	s.counts.Ran++
	s.freed.Signal()
	s.setHeader(w, s.headers.Load, strconv.Itoa(s.running)+","+strconv.Itoa(s.open-s.running)+","+strconv.Itoa(s.capacity.Slots))
	s.abortIfDown()
	return true
}

func (s *CapacityServer) setHeader(w http.ResponseWriter, name, value string) {
	if name != "" {
		w.Header().Set(name, value)
	}
}

func (s *CapacityServer) abortIfDown() {
	if time.Now().Before(s.downUntil) {
		panic(http.ErrAbortHandler)
	}
}

// reject rejects a request. The caller holds mu.
func (s *CapacityServer) reject(w http.ResponseWriter) {
	now := time.Now()
	recent := []time.Time{now}
	for _, at := range s.rejections {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	s.rejections = recent
	if s.capacity.Brittle && len(recent) > s.capacity.Limit {
		s.counts.Falls++
		s.downUntil, s.rejections = now.Add(s.capacity.DownTime), nil
		panic(http.ErrAbortHandler)
	}
	s.setHeader(w, s.headers.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
