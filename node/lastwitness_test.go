package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// startFleetWithShare starts two nodes in the near region and one in the far region. Node i holds
// a share and has served a request that is billed.
func startFleetWithShare(t *testing.T, i int) *testFleet {
	f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
	f.topUp(50_000)
	is.New(t).NoErr(f.request(i, 300, 100))
	time.Sleep(10 * time.Second)
	return f
}

// crashNodeAndWitness makes node 0 serve a request that it can't settle in the log, and crashes it
// and node 1 before the next flush. The engines can't be queried any more.
func (f *testFleet) crashNodeAndWitness() {
	f.log.SetDown(true)
	is.New(f.t).NoErr(f.request(0, 300, 120))
	time.Sleep(flushInterval / 2)
	f.crash(0)
	f.crash(1)
	f.log.SetDown(false)
	f.engines.down = true
}

// replace starts a new node at the address of crashed node i and waits until it serves.
func (f *testFleet) replace(i int, region string) {
	f.nodes[i] = f.start(i, region)
	f.await(func() bool { return f.nodes[i].State() == StateServing })
}

// Guards against requests that are never billed because their node, one witness and, seconds
// later, the other witness crash before any of them is replaced.
func TestAllWitnessesCrashBeforeReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleetWithShare(t, 0)
		f.crashNodeAndWitness()
		time.Sleep(8 * time.Second)
		f.crash(2)
		f.replace(0, nearRegion)
		f.replace(1, nearRegion)
		f.replace(2, farRegion)
		f.awaitBilled(0)
	})
}

// Guards against forgetting a request whose usage only the engine knows, when the last node that
// knew which engine to query crashed before the request was settled.
func TestLastWitnessOfOpenRequestCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleetWithShare(t, 0)
		grant := f.dispatch(0)
		time.Sleep(flushInterval / 2)
		f.crash(0)
		f.crash(1)
		f.replace(1, nearRegion)
		time.Sleep(5 * time.Second)
		f.crash(2)
		f.engines.addUsage(grant.Request().String(), 120)
		f.replace(0, nearRegion)
		f.replace(2, farRegion)
		f.awaitBilled(0)
	})
}

// Guards against billing an engine's usage for a failed answer: the request's node is isolated but
// alive, so its settlement counts and not the engine's report.
func TestIsolatedNodeBillsNothingForFailedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleetWithShare(t, 1)
		grant := f.dispatch(1)
		address := f.nodes[1].settings.PeerAddress
		f.net.isolate(address)
		f.engines.addUsage(grant.Request().String(), 120)
		time.Sleep(10 * time.Second) // the witnesses obtain the engine's usage
		grant.Finish(0)
		f.net.connect(address, nearRegion, f.nodes[1].Node)
		time.Sleep(time.Minute)
		is.Equal(f.checkLedger(0).Spent, uint64(100))
	})
}
