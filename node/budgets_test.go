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

// testPolicy rides out twenty minutes.
var testPolicy = budget.Policy{
	Name: "test", SpendRight: 20 * time.Minute, Window: time.Minute, Horizon: 20 * time.Minute, Idle: 5 * time.Minute, LostAfter: 3 * time.Hour,
}

// drawFor sends a request to each node every fifteen seconds, tops up every half hour,
// and returns the refusals by code.
func (f *testFleet) drawFor(d time.Duration, nodes ...int) map[result.Code]int {
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

// Divers on both coasts go on filing while the link between the regions is cut for
// two hours, the office in one region tops the budget up, and both sides together
// want far more than was prepaid. Without shares that only one side can spend the
// account would end above its budget.
func TestRegionPartitionWithTopUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far, far)
		f.topUp(25_000)
		f.drawFor(10*time.Minute, 0, 1, 2, 3)
		f.net.setCut(true)
		refused := f.drawFor(2*time.Hour, 0, 1, 2, 3)
		is.True(refused[result.BudgetSpent]+refused[result.BudgetReserved]+refused[result.BudgetUnreachable] > 0)
		is.True(refused[result.SpendRightLapsed] > 0) // the far side stops after its term
		f.net.setCut(false)
		f.awaitBilled(0)
	})
}

// The store fails for two hours while all nodes are alive, and one of them crashes
// in the middle. What it had used was never in the log; it is known only to the
// node that it told. Without that, the account would be billed too little and
// could spend the same tokens again.
func TestNodeCrashDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(200_000)
		f.drawFor(10*time.Minute, 0, 1, 2)
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

// awaitReleased waits until the shares of node dead are back, as node i folds it,
// and returns how long that took.
func (f *testFleet) awaitReleased(i, dead int) time.Duration {
	started := time.Now()
	f.await(func() bool { return !f.nodes[i].Ledger().Known(f.nodes[dead].Incarnation()) })
	return time.Since(started)
}

// A node dies at some step of a request. The request must be billed what the engine
// used for it, once, and the dead node's tokens must come back without anybody's
// doing within its term and a minute.
func TestNodeCrashAtEachRequestStep(t *testing.T) {
	steps := map[string]func(f *testFleet){
		"reserved": func(f *testFleet) {
			_, _ = f.nodes[1].budgets.reserver.Reserve(context.Background(), testBudget, 300)
		},
		"witnessed, not sent": func(f *testFleet) { f.dispatch(1) },
		"sent": func(f *testFleet) {
			grant := f.dispatch(1)
			f.engines.run(grant.Request().String(), 120)
		},
		"finished, not settled": func(f *testFleet) {
			grant := f.dispatch(1)
			f.engines.run(grant.Request().String(), 120)
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
				f := startFleet(t, testPolicy, near, near, far)
				f.topUp(50_000)
				is.NoErr(f.request(0, 300, 100))
				is.NoErr(f.request(1, 300, 100))
				step(f)
				f.crash(1)
				is.True(f.awaitReleased(0, 1) < testPolicy.SpendRight*106/100+time.Minute)
				f.awaitBilled(0)
				line := f.checkLedger(0)
				is.Equal(line.Lost, uint64(0))
				is.Equal(line.Remaining(), line.Prepaid-f.engines.used())
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

// A node is cut off with a request reserved, past its right, and the fleet takes
// its share back. Woken, it must not send the request: its tokens are somebody
// else's by now, and the account would pay for both.
func TestIsolatedNodeCannotDispatchAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(50_000)
		grant, err := f.nodes[1].budgets.reserver.Reserve(context.Background(), testBudget, 300)
		is.NoErr(err)
		f.net.silence(f.nodes[1].settings.PeerAddress)
		f.awaitReleased(0, 1)
		f.net.serve(f.nodes[1].settings.PeerAddress, near, f.nodes[1].Node)
		err = grant.Dispatch(context.Background(), testEngine)
		is.Equal(result.CodeOf(err), result.SpendRightLapsed)
		is.Equal(result.CodeOf(f.request(1, 300, 120)), result.SpendRightLapsed)
	})
}

// The log is down and one node's share is used up while the others hold plenty.
// The caller must not be refused, and must not wait for the log either.
func TestBorrowsFromPeersDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(10_000)
		is.NoErr(f.request(1, 900, 10))
		is.NoErr(f.request(2, 900, 10))
		f.log.SetDown(true)
		time.Sleep(10 * time.Second)
		started := time.Now()
		is.NoErr(f.request(0, 1500, 1400)) // one part from each of two holders
		is.True(time.Since(started) < askTimeouts)
		f.log.SetDown(false)
		f.awaitBilled(0)
	})
}

const askTimeouts = time.Second

// Answers between nodes get lost after they took effect: a part reserved that the
// borrower never hears of, a settlement that seems not to arrive. Tokens must
// neither be billed twice nor stay reserved for ever.
func TestLostPeerResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
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

// A node dies that runs a request on tokens which another node reserved for it. The
// lender must learn what became of them, or they stay reserved for ever.
func TestBorrowerCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(10_000)
		is.NoErr(f.request(1, 900, 10))
		is.NoErr(f.request(2, 900, 10))
		f.log.SetDown(true)
		time.Sleep(10 * time.Second)
		grant, err := f.nodes[0].budgets.reserver.Reserve(context.Background(), testBudget, 1500)
		is.NoErr(err)
		is.NoErr(grant.Dispatch(context.Background(), testEngine))
		f.engines.run(grant.Request().String(), 1300)
		f.crash(0)
		f.log.SetDown(false)
		f.awaitReleased(1, 0)
		f.awaitBilled(1)
		is.Equal(f.nodes[1].holder.OpenReservations()+f.nodes[2].holder.OpenReservations(), 0)
	})
}

// A node dies that had reserved tokens for a request which another node still
// runs. The part must be billed once, by what that request used in the end.
func TestLenderCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
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
		f.engines.run(grant.Request().String(), 1300)
		grant.Finish(1300)
		f.awaitReleased(0, 1)
		f.awaitBilled(0)
	})
}

// A node and the one node that it told of its requests die together during a long
// outage of the store. Nobody knows any more what was spent, so what is left of the
// share must not be spent again: it is written off, visibly, after a stated time.
func TestNodeAndWitnessCrashDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
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
		is.True(line.Spent+line.Lost >= f.engines.used())
	})
}
