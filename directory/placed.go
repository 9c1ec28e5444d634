package directory

import (
	"math"
	"time"
)

// placedWindow is the time constant with which placed requests are forgotten. A node that sends 2 requests a second to 60
// upstreams places two at each of them within it; with less, their shares would be left to chance.
const placedWindow = time.Minute

// placed counts the requests that this node placed at an upstream lately.
type placed struct {
	all, affine float64
	at          time.Duration
}

func (p placed) decayed(now time.Duration) placed {
	if elapsed := now - p.at; elapsed > 0 {
		left := math.Exp(-elapsed.Seconds() / placedWindow.Seconds())
		return placed{p.all * left, p.affine * left, now}
	}
	return p
}

// RecordPlaced records that this node placed a request at the upstream; affine tells whether the upstream was chosen for a part
// of the prompt that others share.
func (s *Stats) RecordPlaced(affine bool, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placed = s.placed.decayed(now)
	s.placed.all++
	if affine {
		s.placed.affine++
	}
}

// Placed returns how many requests this node placed at the upstream within the last minute or so, older ones counting less, and how
// many of them for a shared part of the prompt.
func (s *Stats) Placed(now time.Duration) (all, affine float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.placed.decayed(now)
	return p.all, p.affine
}
