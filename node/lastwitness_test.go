package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// startFleetWithShare starts two near nodes and a far one, of which one holds a share and
// has served a request that is billed.
func startFleetWithShare(t *testing.T, i int) *testFleet {
	f := startFleet(t, testPolicy, near, near, far)
	f.topUp(50_000)
	is.New(t).NoErr(f.request(i, 300, 100))
	time.Sleep(10 * time.Second)
	return f
}

// loseWithinOneFlush has the first node answer a request that it can't put into the log, and
// ends it and the second one before the next flush, with no engine left to ask.
func (f *testFleet) loseWithinOneFlush() {
	f.log.SetDown(true)
	is.New(f.t).NoErr(f.request(0, 300, 120))
	time.Sleep(flushInterval / 2)
	f.crash(0)
	f.crash(1)
	f.log.SetDown(false)
	f.engines.down = true
}

// replace starts a new node at a crashed one's place.
func (f *testFleet) replace(i int, region string) {
	f.nodes[i] = f.start(i, region)
	f.await(func() bool { return f.nodes[i].State() == StateServing })
}

// Guards against answers that are billed to nobody since their node, one witness and,
// seconds later, the other one die before anybody replaces them.
func TestAllWitnessesCrashBeforeReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleetWithShare(t, 0)
		f.loseWithinOneFlush()
		time.Sleep(8 * time.Second)
		f.crash(2)
		f.replace(0, near)
		f.replace(1, near)
		f.replace(2, far)
		f.awaitBilled(0)
	})
}

// Guards against a request that only an engine can account for being forgotten, since the
// last node that knew which engine to ask died before it had been settled.
func TestLastWitnessOfOpenRequestCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleetWithShare(t, 0)
		grant := f.dispatch(0)
		time.Sleep(flushInterval / 2)
		f.crash(0)
		f.crash(1)
		f.replace(1, near)
		time.Sleep(5 * time.Second)
		f.crash(2)
		f.engines.run(grant.Request().String(), 120)
		f.replace(0, near)
		f.replace(2, far)
		f.awaitBilled(0)
	})
}

// Guards against an account that pays what an engine produced though the answer failed:
// the node lives behind a cut, and its word counts and not the engine's.
func TestIsolatedNodeBillsNothingForFailedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleetWithShare(t, 1)
		grant := f.dispatch(1)
		address := f.nodes[1].settings.PeerAddress
		f.net.silence(address)
		f.engines.run(grant.Request().String(), 120)
		time.Sleep(10 * time.Second) // the witnesses count what the engine produced
		grant.Finish(0)
		f.net.serve(address, near, f.nodes[1].Node)
		time.Sleep(time.Minute)
		is.Equal(f.checkLedger(0).Spent, uint64(100))
	})
}
