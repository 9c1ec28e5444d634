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
	processBudget  = "crew-budget"
	processPrepaid = 500_000
)

func (f *processFleet) declare(ctx context.Context) {
	is := is.New(f.t)
	file, err := fleetfile.FromProto(&operatorv1.Fleet{
		Accounts: []*operatorv1.Account{{Name: "crew", KeySha256: []string{config.HashKey("crew-key")}}},
		Services: []*operatorv1.Service{
			{Name: "chat", Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{"m"}},
			{Name: "orders", Kind: operatorv1.ServiceKind_SERVICE_KIND_PLAIN, Calls: []*operatorv1.Call{{Method: "POST", Path: "/", Tokens: 5}}},
		},
		Budgets:   []*operatorv1.Budget{{Name: processBudget, Account: "crew", Services: []string{"chat", "orders"}}},
		Upstreams: f.ups,
		TopUps:    []*operatorv1.TopUp{{Id: "first", Budget: processBudget, Tokens: processPrepaid}},
	})
	is.NoErr(err)
	_, err = fleetfile.Apply(ctx, f.operatorOf(f.nodes[0]), file, false)
	is.NoErr(err)
	for _, n := range f.nodes {
		for f.budget(ctx, n).GetPrepaid() == 0 {
			time.Sleep(pollEvery)
		}
	}
}

// budget returns the budget as a node folds it; nil while the node doesn't answer.
func (f *processFleet) budget(ctx context.Context, n *nodeProcess) *operatorv1.BudgetState {
	answer, err := f.operatorOf(n).Budgets(ctx, &operatorv1.BudgetsRequest{Budget: processBudget})
	if err != nil || len(answer.GetBudgets()) == 0 {
		return nil
	}
	return answer.GetBudgets()[0]
}

// awaitAgreement waits until all nodes fold the same spend and none changes.
func (f *processFleet) awaitAgreement(ctx context.Context) *operatorv1.BudgetState {
	var last uint64
	for same := 0; same < 25; {
		states := map[uint64]bool{}
		for _, n := range f.nodes {
			states[f.budget(ctx, n).GetSpent()] = true
		}
		spent := f.budget(ctx, f.nodes[0]).GetSpent()
		if len(states) == 1 && spent == last {
			same++
		} else {
			same = 0
		}
		last = spent
		time.Sleep(pollEvery)
	}
	return f.budget(ctx, f.nodes[0])
}

// One node is killed with streams open and replaced, another is stopped for longer
// than its right to spend and goes on afterwards, while callers keep asking all
// three. A caller may lose a connection; nobody may get half an answer as a whole
// one, no order may be filed twice, and the budget may not be overspent.
func TestProcessesSurviveKillAndPause(t *testing.T) {
	is := is.New(t)
	f := startProcesses(t)
	ctx := metadata.AppendToOutgoingContext(context.Background(), "authorization", "Bearer "+testToken)
	f.declare(ctx)

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
	time.Sleep(2 * rightOf)
	f.nodes[2].signal(syscall.SIGCONT)
	report := <-reports
	f.awaitServing()

	t.Logf("%+v", *report)
	is.True(report.OK > 0)
	is.Equal(report.Truncated, 0)
	is.Equal(report.Crossed, 0)
	for order, runs := range f.plain.Runs() {
		if runs != 1 {
			t.Errorf("order %s ran %d times", order, runs)
		}
	}
	state := f.awaitAgreement(ctx)
	is.True(state.GetSpent() <= processPrepaid)
	is.Equal(state.GetPrepaid(), uint64(processPrepaid))
	t.Logf("spent %d, answered whole %d", state.GetSpent(), report.AnsweredTokens)
}
