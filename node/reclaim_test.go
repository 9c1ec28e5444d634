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

// A node crashes and is restarted at its address. Its share must be released within seconds, not
// after its spend right: only one process can listen at the address.
func TestRestartReleasesShareWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(50_000)
		is.NoErr(f.request(1, 300, 100))
		grant := f.dispatch(1)
		f.engines.addUsage(grant.Request().String(), 120)
		f.crash(1)
		dead := f.nodes[1].Incarnation()
		f.nodes[1] = f.start(1, nearRegion)
		started := time.Now()
		f.await(func() bool { return !f.nodes[0].Ledger().Known(dead) })
		is.True(time.Since(started) < 30*time.Second)
		f.awaitBilled(0)
	})
}

// A node crashes, and its witness is drained before the fleet has closed the crashed node. The
// witness must hand over the requests that it holds.
func TestWitnessDrainsBeforeDeadNodeIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(50_000)
		is.NoErr(f.request(0, 300, 100))
		f.log.SetDown(true) // the settlement can't reach the log
		grant := f.dispatch(0)
		f.engines.addUsage(grant.Request().String(), 120)
		grant.Finish(120)
		time.Sleep(time.Second)
		f.crash(0)
		f.log.SetDown(false)
		is.True(f.nodes[1].budgets.witnessStore.Len() > 0) // node 1 is the witness of node 0
		f.engines.down = true                              // no other source of the usage
		f.nodes[1].Drain(context.Background())
		f.crash(1)
		f.awaitReleased(2, 0)
		f.awaitBilled(2)
	})
}

// An engine is down while recovery needs its usage report. The tokens must not stay frozen: after
// five minutes the request is billed its worst case.
func TestEngineDownDuringRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(50_000)
		is.NoErr(f.request(1, 300, 100))
		f.dispatch(1)
		f.engines.down = true
		f.crash(1)
		is.True(f.awaitReleased(0, 1) < testPolicy.SpendRight*106/100+6*time.Minute)
		is.Equal(f.checkLedger(0).Spent, uint64(100+300))
	})
}

// With policy thrift a request without a witness isn't dispatched, even if the log is reachable;
// with endurance it is, and the timeline records that.
func TestBudgetPolicyWithoutWitness(t *testing.T) {
	for name, want := range map[string]result.Code{"thrift": result.NoWitness, "endurance": result.OK} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				policy, err := budget.PolicyByName(name)
				is.NoErr(err)
				f := startFleet(t, policy, nearRegion, nearRegion)
				f.topUp(50_000)
				f.crash(1)
				time.Sleep(10 * time.Second)
				is.Equal(result.CodeOf(f.request(0, 300, 100)), want)
			})
		})
	}
}
