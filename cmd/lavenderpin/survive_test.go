package main

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/metadata"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/fleetfile"
	"lavenderpin.dev/lavenderpin/internal/bench"
)

const (
	testBudget    = "crew-budget"
	prepaidTokens = 500_000
)

func (f *processFleet) applyConfig(ctx context.Context) {
	is := is.New(f.t)
	file, err := fleetfile.FromProto(&operatorv1.Fleet{
		Accounts: []*operatorv1.Account{{Name: "crew", KeySha256: []string{config.HashKey("crew-key")}}},
		Services: []*operatorv1.Service{
			{Name: "chat", Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{"m"}},
			{Name: "orders", Kind: operatorv1.ServiceKind_SERVICE_KIND_PLAIN, Calls: []*operatorv1.Call{{Method: "POST", Path: "/", Tokens: 5}}},
		},
		Budgets:   []*operatorv1.Budget{{Name: testBudget, Account: "crew", Services: []string{"chat", "orders"}}},
		Upstreams: f.upstreams,
		TopUps:    []*operatorv1.TopUp{{Id: "first", Budget: testBudget, Tokens: prepaidTokens}},
	})
	is.NoErr(err)
	_, err = fleetfile.Apply(ctx, f.operatorClient(f.nodes[0]), file, false)
	is.NoErr(err)
	for _, n := range f.nodes {
		for f.budgetState(ctx, n).GetPrepaid() == 0 {
			time.Sleep(pollInterval)
		}
	}
}

// budgetState returns the budget as a node sees it, or nil while the node doesn't respond.
func (f *processFleet) budgetState(ctx context.Context, n *nodeProcess) *operatorv1.BudgetState {
	response, err := f.operatorClient(n).Budgets(ctx, &operatorv1.BudgetsRequest{Budget: testBudget})
	if err != nil || len(response.GetBudgets()) == 0 {
		return nil
	}
	return response.GetBudgets()[0]
}

// awaitConvergence waits until all nodes report the same spend and it no longer changes.
func (f *processFleet) awaitConvergence(ctx context.Context) *operatorv1.BudgetState {
	var last uint64
	for stable := 0; stable < 25; {
		spends := map[uint64]bool{}
		for _, n := range f.nodes {
			spends[f.budgetState(ctx, n).GetSpent()] = true
		}
		spent := f.budgetState(ctx, f.nodes[0]).GetSpent()
		if len(spends) == 1 && spent == last {
			stable++
		} else {
			stable = 0
		}
		last = spent
		time.Sleep(pollInterval)
	}
	return f.budgetState(ctx, f.nodes[0])
}

// One node is killed with streams open and restarted, and another is paused for longer than
// its right to spend and then resumed, while callers keep sending to all three. A caller may
// lose a connection, but no truncated or mixed-up response may pass for a complete one, no
// order may run twice, and the budget may not be overspent.
func TestProcessesSurviveKillAndPause(t *testing.T) {
	is := is.New(t)
	f := startProcessFleet(t)
	ctx := metadata.AppendToOutgoingContext(context.Background(), "authorization", "Bearer "+operatorToken)
	f.applyConfig(ctx)

	var targets []string
	for _, n := range f.nodes {
		targets = append(targets, n.http)
	}
	reports := make(chan *bench.Report, 1)
	go func() {
		report, err := bench.Run(context.Background(), bench.Options{Seed: 1, Rate: 40, Duration: 8 * time.Second, StreamShare: 0.5, PlainShare: 0.3,
			Targets: targets, Key: "crew-key", Model: "m", PlainService: "orders"})
		if err != nil {
			t.Error(err)
		}
		reports <- report
	}()
	time.Sleep(time.Second)
	f.nodes[1].kill()
	f.nodes[2].signal(syscall.SIGSTOP)
	time.Sleep(time.Second)
	f.nodes[1].start()
	time.Sleep(2 * spendRight)
	f.nodes[2].signal(syscall.SIGCONT)
	report := <-reports
	f.awaitServing()

	t.Logf("%+v", *report)
	is.True(report.OK > 0)
	is.Equal(report.Truncated, 0)
	is.Equal(report.Crossed, 0)
	for order, runs := range f.plainService.Runs() {
		if runs != 1 {
			t.Errorf("order %s ran %d times", order, runs)
		}
	}
	state := f.awaitConvergence(ctx)
	is.True(state.GetSpent() <= prepaidTokens)
	is.Equal(state.GetPrepaid(), uint64(prepaidTokens))
	t.Logf("spent %d tokens, %d in complete responses", state.GetSpent(), report.AnsweredTokens)
}
