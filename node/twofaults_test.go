package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// The regions are cut off from each other for longer than the spend right, and a node crashes on
// the side without the log. The fleet closes that whole side. When the link is back, the crashed
// node's usage is known only to a node that is closed itself. It must report the usage before it
// is replaced, or the account is billed too little and can spend the same tokens again.
func TestCrashInCutOffRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion, farRegion, farRegion)
		f.topUp(25_000)
		f.runLoad(5*time.Minute, 0, 1, 2, 3, 4)
		f.net.setCut(true)
		f.runLoad(5*time.Minute, 0, 1, 2, 3, 4)
		f.crash(2)
		f.runLoad(time.Hour, 0, 1, 3, 4)
		f.net.setCut(false)
		for _, i := range []int{3, 4} {
			<-f.nodes[i].done // a closed node ends once it has reported what it knows
			f.nodes[i] = f.start(i, farRegion)
		}
		f.awaitReleased(0, 2)
		f.awaitBilled(0)
		is.Equal(f.checkLedger(0).Lost, uint64(0))
		f.await(func() bool { return f.nodes[3].State() == StateServing })
		is.NoErr(f.request(3, 100, 10))
	})
}

// As TestCrashInCutOffRegion, but the witness queries to the closed nodes are lost until those have
// settled their own requests and released their shares. If such a node ended without handing over
// the requests that it witnessed, the crashed node's last requests would never be billed.
func TestCrashInCutOffRegionWithLateQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion, farRegion, farRegion)
		f.topUp(25_000)
		f.runLoad(5*time.Minute, 0, 1, 2, 3, 4)
		f.net.setCut(true)
		f.runLoad(5*time.Minute, 0, 1, 2, 3, 4)
		f.crash(2)
		f.runLoad(time.Hour, 0, 1, 3, 4)
		f.net.loseAnswers(func(r *fleetv1.Request) bool { return r.GetWitnessQuery() != nil })
		f.net.setCut(false)
		f.awaitReleased(0, 3)
		f.awaitReleased(0, 4)
		f.net.loseAnswers(nil)
		f.awaitReleased(0, 2)
		f.awaitBilled(0)
		is.New(t).Equal(f.checkLedger(0).Lost, uint64(0))
	})
}

// A node and the witness that its requests wait for crash together within one flush interval, and
// no engine can be queried. A third node got the reports too, although requests didn't wait for
// it; the answered requests must still be billed.
func TestNodeAndWitnessCrashWithinOneFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(50_000)
		is.NoErr(f.request(0, 300, 100))
		is.NoErr(f.request(1, 300, 100))
		time.Sleep(10 * time.Second)
		f.crashNodeAndWitness()
		is.True(f.awaitReleased(2, 0) < testPolicy.SpendRight*106/100+6*time.Minute)
		is.Equal(f.checkLedger(2).Spent, f.engines.totalUsed())
	})
}

// For two hours every call to the log takes three seconds, and some responses are lost. Requests
// must still be served, no node may be closed, and everything must be billed in the end.
func TestSlowLogForHours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(400_000)
		f.runLoad(10*time.Minute, 0, 1, 2)
		f.log.SetDelay(3 * time.Second)
		f.log.DropResponses(40)
		refused := f.runLoad(2*time.Hour, 0, 1, 2)
		f.log.SetDelay(0)
		is.Equal(refused[result.SpendRightLapsed], 0)
		is.True(refused[result.BudgetUnreachable] <= 3) // the first requests, before the shares have grown
		for _, n := range f.nodes {
			is.Equal(n.State(), StateServing)
		}
		f.awaitBilled(0)
	})
}

// A node is isolated while it runs a request. Either it settles the request once it is reconnected,
// or the fleet has queried the engine before; in both cases the request is billed exactly once. A
// request without a witness is refused: the fleet would never learn of it if the node crashed.
func TestNodeIsolatedFromAllPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(50_000)
		is.NoErr(f.request(1, 300, 100))
		grant := f.dispatch(1)
		address := f.nodes[1].settings.PeerAddress
		f.net.isolate(address)
		time.Sleep(10 * time.Second)
		f.engines.addUsage(grant.Request().String(), 120)
		grant.Finish(120)
		is.Equal(result.CodeOf(f.request(1, 300, 120)), result.NoWitness)
		f.await(func() bool { return !f.nodes[0].Ledger().IsOpen(f.nodes[1].Incarnation()) })
		f.net.connect(address, nearRegion, f.nodes[1].Node)
		f.awaitBilled(0)
		<-f.nodes[1].done
		is.Equal(f.nodes[1].State(), StateClosed)
	})
}
