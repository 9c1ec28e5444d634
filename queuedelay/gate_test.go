package queuedelay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a node that goes on accepting while what callers send queues on its link, and one that refuses because
// the path to its neighbours is slow.
func TestGateIsShutWhileALinkInUseIsLate(t *testing.T) {
	is := is.New(t)
	var g Gate
	is.True(!g.Update(1*time.Second, shutDelay-1, 1))
	is.True(!g.Update(2*time.Second, 5*shutDelay, busyUse/2)) // not this node's link
	is.True(g.Update(3*time.Second, shutDelay, busyUse))
	is.True(g.Update(4*time.Second, openDelay, 0)) // still late, though nothing comes any more
	is.True(!g.Update(5*time.Second, openDelay-1, 1))
	is.True(g.Update(6*time.Second, shutDelay, 1))
}

// Guards against a node that refuses its callers for as long as a neighbour is late for a reason of its own.
func TestGateOpensIfRefusingDoesNotHelp(t *testing.T) {
	is := is.New(t)
	var g Gate
	is.True(g.Update(1*time.Second, 2*shutDelay, 1))
	is.True(g.Update(1*time.Second+maxShut-1, 2*shutDelay, 1))
	is.True(!g.Update(1*time.Second+maxShut, 2*shutDelay, 1))
	is.True(!g.Update(time.Minute, 2*shutDelay, 1))
	is.True(!g.Update(2*time.Minute, 0, 1))
	is.True(g.Update(3*time.Minute, shutDelay, 1)) // another queue
}
