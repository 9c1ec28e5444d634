package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/result"
)

// testPolicy covers a log outage of twenty minutes.
var testPolicy = budget.Policy{
	Name: "test", SpendRight: 20 * time.Minute, Window: time.Minute, Horizon: 20 * time.Minute, Idle: 5 * time.Minute, LostAfter: 3 * time.Hour,
}

// runLoad sends a request to each of nodes every fifteen seconds and tops up every half hour, for
// the duration d. It returns the number of refusals by result code.
func (f *testFleet) runLoad(d time.Duration, nodes ...int) map[result.Code]int {
	refused := map[result.Code]int{}
	for started, step := time.Now(), 0; time.Since(started) < d; step++ {
		for _, i := range nodes {
			if err := f.request(i, 300, 120); err != nil {
				refused[result.CodeOf(err)]++
			}
		}
		if step%120 == 60 {
			f.topUp(2000)
		}
		f.checkLedger(0)
		time.Sleep(15 * time.Second)
	}
	return refused
}

// The link between the regions is cut for two hours while both sides send requests, together for
// far more tokens than are prepaid, and the budget is topped up in one region. Without shares
// that only one side can spend, the account would overspend its budget.
func TestRegionPartitionWithTopUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion, farRegion)
		f.topUp(25_000)
		f.runLoad(10*time.Minute, 0, 1, 2, 3)
		f.net.setCut(true)
		refused := f.runLoad(2*time.Hour, 0, 1, 2, 3)
		is.True(refused[result.BudgetSpent]+refused[result.BudgetReserved]+refused[result.BudgetUnreachable] > 0)
		is.True(refused[result.SpendRightLapsed] > 0) // the far region stops after its spend right
		f.net.setCut(false)
		f.awaitBilled(0)
	})
}

// The log is down for two hours, and one node crashes during the outage. Its usage never reached
// the log and is known only to its witness. Without the witness the account would be billed too
// little and could spend the same tokens again.
func TestNodeCrashDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(200_000)
		f.runLoad(10*time.Minute, 0, 1, 2)
		f.log.SetDown(true)
		for range 50 {
			_ = f.request(1, 300, 120)
			time.Sleep(time.Second)
		}
		time.Sleep(20 * time.Minute)
		f.crash(1)
		time.Sleep(100 * time.Minute)
		f.log.SetDown(false)
		f.awaitReleased(0, 1)
		f.awaitBilled(0)
	})
}

// awaitReleased waits until the shares of node dead are released in the ledger of node i, and
// returns how long that took.
func (f *testFleet) awaitReleased(i, dead int) time.Duration {
	started := time.Now()
	f.await(func() bool { return !f.nodes[i].Ledger().Known(f.nodes[dead].Incarnation()) })
	return time.Since(started)
}

// A node crashes at each step of a request. The request must be billed exactly once for what the
// engine used, and the crashed node's shares must be released, without an operator, within 106% of
// its spend right plus one minute.
func TestNodeCrashAtEachRequestStep(t *testing.T) {
	steps := map[string]func(f *testFleet){
		"reserved": func(f *testFleet) {
			_, _ = f.nodes[1].budgets.reserver.Reserve(context.Background(), testBudget, 300)
		},
		"witnessed, not sent": func(f *testFleet) { f.dispatch(1) },
		"sent": func(f *testFleet) {
			grant := f.dispatch(1)
			f.engines.addUsage(grant.Request().String(), 120)
		},
		"finished, not settled": func(f *testFleet) {
			grant := f.dispatch(1)
			f.engines.addUsage(grant.Request().String(), 120)
			grant.Finish(120)
		},
		"appended, answer lost": func(f *testFleet) {
			f.log.DropResponses(1)
			_ = f.request(1, 300, 120)
			time.Sleep(flushInterval + 30*time.Millisecond)
		},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
				f.topUp(50_000)
				is.NoErr(f.request(0, 300, 100))
				is.NoErr(f.request(1, 300, 100))
				step(f)
				f.crash(1)
				is.True(f.awaitReleased(0, 1) < testPolicy.SpendRight*106/100+time.Minute)
				f.awaitBilled(0)
				line := f.checkLedger(0)
				is.Equal(line.Lost, uint64(0))
				is.Equal(line.Remaining(), line.Prepaid-f.engines.totalUsed())
			})
		})
	}
}

func (f *testFleet) dispatch(i int) budget.Grant {
	is := is.New(f.t)
	grant, err := f.nodes[i].budgets.reserver.Reserve(context.Background(), testBudget, 300)
	is.NoErr(err)
	is.NoErr(grant.Dispatch(context.Background(), testEngine))
	return grant
}

// A node is isolated with a reserved request until its spend right has expired and its share is
// released. Reconnected, it must not dispatch the request: the tokens may be reserved by others by
// then, and the account would pay for both.
func TestIsolatedNodeCannotDispatchAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(50_000)
		grant, err := f.nodes[1].budgets.reserver.Reserve(context.Background(), testBudget, 300)
		is.NoErr(err)
		f.net.isolate(f.nodes[1].settings.PeerAddress)
		f.awaitReleased(0, 1)
		f.net.connect(f.nodes[1].settings.PeerAddress, nearRegion, f.nodes[1].Node)
		err = grant.Dispatch(context.Background(), testEngine)
		is.Equal(result.CodeOf(err), result.SpendRightLapsed)
		is.Equal(result.CodeOf(f.request(1, 300, 120)), result.SpendRightLapsed)
	})
}

// The log is down and one node's share is used up while other nodes have tokens left. The request
// must be neither refused nor delayed until the log is back.
func TestBorrowsFromPeersDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(10_000)
		is.NoErr(f.request(1, 900, 10))
		is.NoErr(f.request(2, 900, 10))
		f.log.SetDown(true)
		time.Sleep(10 * time.Second)
		started := time.Now()
		is.NoErr(f.request(0, 1500, 1400)) // one part from each of two share holders
		is.True(time.Since(started) < maxBorrowTime)
		f.log.SetDown(false)
		f.awaitBilled(0)
	})
}

const maxBorrowTime = time.Second

// Responses between nodes are lost after the request took effect: a borrower doesn't learn of a
// part reserved for it, or a settlement seems to fail. Tokens must neither be billed twice nor stay
// reserved forever.
func TestLostPeerResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(10_000)
		is.NoErr(f.request(1, 900, 10))
		is.NoErr(f.request(2, 900, 10))
		f.log.SetDown(true)
		time.Sleep(10 * time.Second)
		var asked atomic.Int64
		f.net.loseAnswers(func(r *fleetv1.Request) bool {
			return (r.GetReserve() != nil || r.GetSettle() != nil || r.GetWitness() != nil) && asked.Add(1)%3 == 0
		})
		for range 20 {
			_ = f.request(0, 500, 60)
			time.Sleep(time.Second)
		}
		f.net.loseAnswers(nil)
		f.log.SetDown(false)
		f.awaitBilled(0)
		for _, n := range f.nodes {
			is.Equal(n.holder.OpenReservations(), 0)
		}
	})
}

// A node crashes while it runs a request on tokens borrowed from other nodes. The lenders must
// learn the outcome, or the tokens stay reserved forever.
func TestBorrowerCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(10_000)
		is.NoErr(f.request(1, 900, 10))
		is.NoErr(f.request(2, 900, 10))
		f.log.SetDown(true)
		time.Sleep(10 * time.Second)
		grant, err := f.nodes[0].budgets.reserver.Reserve(context.Background(), testBudget, 1500)
		is.NoErr(err)
		is.NoErr(grant.Dispatch(context.Background(), testEngine))
		f.engines.addUsage(grant.Request().String(), 1300)
		f.crash(0)
		f.log.SetDown(false)
		f.awaitReleased(1, 0)
		f.awaitBilled(1)
		is.Equal(f.nodes[1].holder.OpenReservations()+f.nodes[2].holder.OpenReservations(), 0)
	})
}

// A node crashes that had lent tokens to a request which is still running on another node. The
// part must be billed exactly once, according to the request's final usage.
func TestLenderCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(10_000)
		is.NoErr(f.request(1, 900, 10))
		is.NoErr(f.request(2, 900, 10))
		f.log.SetDown(true)
		time.Sleep(10 * time.Second)
		grant, err := f.nodes[0].budgets.reserver.Reserve(context.Background(), testBudget, 1500)
		is.NoErr(err)
		is.NoErr(grant.Dispatch(context.Background(), testEngine))
		f.crash(1)
		f.log.SetDown(false)
		f.engines.addUsage(grant.Request().String(), 1300)
		grant.Finish(1300)
		f.awaitReleased(0, 1)
		f.awaitBilled(0)
	})
}

// A node and its witness crash together during a log outage. No node knows what was spent, so the
// rest of the share must not be spent again: after Policy.LostAfter it is written off as lost.
func TestNodeAndWitnessCrashDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.topUp(10_000)
		is.NoErr(f.request(0, 300, 100))
		is.NoErr(f.request(1, 300, 100))
		time.Sleep(10 * time.Second)
		f.log.SetDown(true)
		time.Sleep(5 * time.Minute)
		is.NoErr(f.request(0, 300, 120))
		f.crash(0)
		f.crash(1)
		f.log.SetDown(false)
		f.awaitReleased(2, 0)
		line := f.checkLedger(2)
		is.True(line.Lost > 0)
		is.True(line.Spent+line.Lost >= f.engines.totalUsed())
	})
}
