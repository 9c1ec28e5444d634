package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// The regions are cut apart for longer than the right lasts, and in the middle a
// node crashes on the side without the log. The fleet closes the whole far side.
// When the link is back, what the dead node spent is known only to a node that is
// itself closed; it must tell before it is replaced, or the account is billed too
// little and can spend the same tokens again.
func TestCrashInCutOffRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far, far, far)
		f.topUp(25_000)
		f.drawFor(5*time.Minute, 0, 1, 2, 3, 4)
		f.net.setCut(true)
		f.drawFor(5*time.Minute, 0, 1, 2, 3, 4)
		f.crash(2)
		f.drawFor(time.Hour, 0, 1, 3, 4)
		f.net.setCut(false)
		for _, i := range []int{3, 4} {
			<-f.nodes[i].done // closed, it ends once it has told what it knows
			f.nodes[i] = f.start(i, far)
		}
		f.awaitReleased(0, 2)
		f.awaitBilled(0)
		is.Equal(f.checkLedger(0).Lost, uint64(0))
		f.await(func() bool { return f.nodes[3].State() == StateServing })
		is.NoErr(f.request(3, 100, 10))
	})
}

// The same, and the fleet's questions to the closed nodes get lost until those have
// settled their own and released it. One that then ends with what the dead node had
// told it leaves the dead node's last answers billed to nobody.
func TestCrashInCutOffRegionWithLateQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, testPolicy, near, near, far, far, far)
		f.topUp(25_000)
		f.drawFor(5*time.Minute, 0, 1, 2, 3, 4)
		f.net.setCut(true)
		f.drawFor(5*time.Minute, 0, 1, 2, 3, 4)
		f.crash(2)
		f.drawFor(time.Hour, 0, 1, 3, 4)
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

// A node and the witness that its requests wait for die together, within one flush of
// settlements, and no engine can be asked. A third node was told as well, without being
// waited for; what the callers were answered must be billed all the same.
func TestNodeAndWitnessCrashWithinOneFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(50_000)
		is.NoErr(f.request(0, 300, 100))
		is.NoErr(f.request(1, 300, 100))
		time.Sleep(10 * time.Second)
		f.loseWithinOneFlush()
		is.True(f.awaitReleased(2, 0) < testPolicy.SpendRight*106/100+6*time.Minute)
		is.Equal(f.checkLedger(2).Spent, f.engines.used())
	})
}

// Every call of the store takes three seconds, for two hours, and answers get lost.
// Requests must go on, nobody may be closed, and all must be billed in the end.
func TestSlowLogForHours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(400_000)
		f.drawFor(10*time.Minute, 0, 1, 2)
		f.log.SetDelay(3 * time.Second)
		f.log.DropResponses(40)
		refused := f.drawFor(2*time.Hour, 0, 1, 2)
		f.log.SetDelay(0)
		is.Equal(refused[result.SpendRightLapsed], 0)
		is.True(refused[result.BudgetUnreachable] <= 3) // the first requests, before the shares had grown
		for _, n := range f.nodes {
			is.Equal(n.State(), StateServing)
		}
		f.awaitBilled(0)
	})
}

// A node is cut off from all others while it runs a request. It settles what it
// knows once it is back, or the fleet has asked the engine before; either way the
// request is billed once. A request that it could tell nobody of is refused: the
// fleet would never learn of it if the node died.
func TestNodeIsolatedFromAllPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(50_000)
		is.NoErr(f.request(1, 300, 100))
		grant := f.dispatch(1)
		address := f.nodes[1].settings.PeerAddress
		f.net.silence(address)
		time.Sleep(10 * time.Second)
		f.engines.run(grant.Request().String(), 120)
		grant.Finish(120)
		is.Equal(result.CodeOf(f.request(1, 300, 120)), result.NoWitness)
		f.await(func() bool { return !f.nodes[0].Ledger().IsOpen(f.nodes[1].Incarnation()) })
		f.net.serve(address, near, f.nodes[1].Node)
		f.awaitBilled(0)
		<-f.nodes[1].done
		is.Equal(f.nodes[1].State(), StateClosed)
	})
}
