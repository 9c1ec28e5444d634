package queuedelay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

func exchanged(n *neighbour, address string, began, took time.Duration) time.Duration {
	n.begin(address, began)
	return n.end(began+took, true)
}

// Guards against taking the way to another region for a queue, and a queue that was there from the start for the way.
func TestWayIsNoQueue(t *testing.T) {
	is := is.New(t)
	var far, queued neighbour
	is.Equal(exchanged(&far, "a", 0, 60*ms), 0*ms)
	is.Equal(exchanged(&far, "a", 100*ms, 75*ms), 15*ms)
	is.Equal(exchanged(&queued, "a", 0, 900*ms), 800*ms)
	is.Equal(exchanged(&queued, "a", time.Second, 3*ms), 0*ms)
	is.Equal(exchanged(&queued, "a", 2*time.Second, 503*ms), 500*ms)
}

// Guards against a delay that is known only once the queue is over: the exchange that is open tells it before.
func TestOpenExchangeCountsWithItsAge(t *testing.T) {
	is := is.New(t)
	var n neighbour
	_, known := n.delay(0)
	is.True(!known)
	exchanged(&n, "a", 0, 2*ms)
	n.begin("a", time.Second)
	d, known := n.delay(time.Second + 302*ms)
	is.True(known)
	is.Equal(d, 300*ms)
}

// Guards against a node that takes a lost neighbour, or the lost path to it, for a queue of its own.
func TestFailedExchangeSaysNothing(t *testing.T) {
	is := is.New(t)
	var n neighbour
	exchanged(&n, "a", 0, 2*ms)
	n.begin("a", time.Second)
	n.end(4*time.Second, false)
	_, known := n.delay(4 * time.Second)
	is.True(!known)
	n.begin("a", 5*time.Second)
	_, known = n.delay(6 * time.Second) // not before it answers
	is.True(!known)
	n.begin("b", 7*time.Second) // another node
	d, known := n.delay(7*time.Second + 500*ms)
	is.True(known)
	is.Equal(d, 500*ms)
}
