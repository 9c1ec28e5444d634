package queuedelay

import (
	"math"
	"sync/atomic"
	"time"
)

// linkWindow is how far back the use of a link counts, about: long enough for a mean over single requests, and short
// against the time-outs of requests.
const linkWindow = 300 * time.Millisecond

// Counter counts the bytes that a process receives and sends.
type Counter interface {
	Received() int64
	Sent() int64
}

// Link measures how much a node uses of its instance's link. Sample is for one goroutine; the rest is safe for concurrent
// use.
type Link struct {
	counter Counter
	// speed is the link's speed in bytes a second, in each direction; zero if it isn't known.
	speed float64

	sampled        bool
	at             time.Duration
	received, sent int64
	// in and out are the bytes a second of the last window, as bits of a float64.
	in, out atomic.Uint64
}

// NewLink returns a link of a speed in Mbit/s; zero if it isn't known.
func NewLink(counter Counter, mbps float64) *Link {
	const bytesPerMbit = 125_000
	return &Link{counter: counter, speed: mbps * bytesPerMbit}
}

// Sample takes a sample of the counter.
func (l *Link) Sample(now time.Duration) {
	received, sent, elapsed := l.counter.Received(), l.counter.Sent(), now-l.at
	if l.sampled && elapsed <= 0 {
		return
	}
	if l.sampled {
		weight := min(1, elapsed.Seconds()/linkWindow.Seconds())
		average(&l.in, weight, float64(received-l.received)/elapsed.Seconds())
		average(&l.out, weight, float64(sent-l.sent)/elapsed.Seconds())
	}
	l.sampled, l.at, l.received, l.sent = true, now, received, sent
}

func average(bits *atomic.Uint64, weight, sample float64) {
	bits.Store(math.Float64bits((1-weight)*math.Float64frombits(bits.Load()) + weight*sample))
}

// BytesPerSecond returns what the node received and sent a second.
func (l *Link) BytesPerSecond() (in, out float64) {
	return math.Float64frombits(l.in.Load()), math.Float64frombits(l.out.Load())
}

// Speed returns the link's speed in bytes per second, in each direction; zero if it isn't known.
func (l *Link) Speed() float64 { return l.speed }

// Use returns which part of the link's speed is used, in the direction that is used more; zero if the speed isn't known.
func (l *Link) Use() float64 {
	if l.speed == 0 {
		return 0
	}
	in, out := l.BytesPerSecond()
	return max(in, out) / l.speed
}
