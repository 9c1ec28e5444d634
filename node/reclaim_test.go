package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/result"
)

// A node crashes and is started anew at its address. Its tokens must be back within
// seconds, not after its term: only one process can hold the address.
func TestRestartReleasesShareWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(50_000)
		is.NoErr(f.request(1, 300, 100))
		grant := f.dispatch(1)
		f.engines.run(grant.Request().String(), 120)
		f.crash(1)
		dead := f.nodes[1].Incarnation()
		f.nodes[1] = f.start(1, near)
		started := time.Now()
		f.await(func() bool { return !f.nodes[0].Ledger().Known(dead) })
		is.True(time.Since(started) < 30*time.Second)
		f.awaitBilled(0)
	})
}

// A node crashes, and the node that it had told of its requests is stopped by plan
// before the fleet has noticed. The one that stops must pass on what it was told.
func TestWitnessDrainsBeforeDeadNodeIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(50_000)
		is.NoErr(f.request(0, 300, 100))
		f.log.SetDown(true) // keeps the settlement out of the log
		grant := f.dispatch(0)
		f.engines.run(grant.Request().String(), 120)
		grant.Finish(120)
		time.Sleep(time.Second)
		f.crash(0)
		f.log.SetDown(false)
		is.True(f.nodes[1].budgets.memory.Len() > 0) // node 1 is the witness of node 0
		f.engines.down = true                        // nobody else can tell
		f.nodes[1].Drain(context.Background())
		f.crash(1)
		f.awaitReleased(2, 0)
		f.awaitBilled(2)
	})
}

// An engine is down while recovery needs its count. The tokens must not stay frozen
// for it: after the stated five minutes the request pays its worst case.
func TestEngineDownDuringRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(50_000)
		is.NoErr(f.request(1, 300, 100))
		f.dispatch(1)
		f.engines.down = true
		f.crash(1)
		is.True(f.awaitReleased(0, 1) < testPolicy.SpendRight*106/100+6*time.Minute)
		is.Equal(f.checkLedger(0).Spent, uint64(100+300))
	})
}

// With thrift a request that only this node knows of isn't sent, though the log
// answers; with endurance it is, and says so in the time line.
func TestBudgetPolicyWithoutWitness(t *testing.T) {
	for name, want := range map[string]result.Code{"thrift": result.NoWitness, "endurance": result.OK} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				policy, err := budget.PolicyByName(name)
				is.NoErr(err)
				f := startFleet(t, policy, near, near)
				f.topUp(50_000)
				f.crash(1)
				time.Sleep(10 * time.Second)
				is.Equal(result.CodeOf(f.request(0, 300, 100)), want)
			})
		})
	}
}
