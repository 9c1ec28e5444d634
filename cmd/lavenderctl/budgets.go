package main

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

type budgetsCmd struct {
	Budget string `arg:"" optional:"" help:"Show only this budget."`
}

// Run fetches the budgets page by page and prints them.
func (c *budgetsCmd) Run(ctx context.Context, root *cli) error {
	return root.withConnection(ctx, func(conn *connection) error {
		w := newTable()
		fmt.Fprintln(w, "BUDGET\tACCOUNT\tPREPAID\tSPENT\tPOOL\tHOLDER\tGRANTED\tSPENT THERE\tSTATE")
		request := &operatorv1.BudgetsRequest{Budget: c.Budget}
		for {
			response, err := conn.client.Budgets(conn.ctx, request)
			if err != nil {
				return errors.Trace(err)
			}
			printBudgets(w, response.GetBudgets())
			if response.GetNext() == "" {
				return w.Flush()
			}
			request = &operatorv1.BudgetsRequest{After: response.GetNext()}
		}
	})
}

func printBudgets(w io.Writer, budgets []*operatorv1.BudgetState) {
	for _, b := range budgets {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", b.GetBudget(), b.GetAccount(), b.GetPrepaid(), b.GetSpent(), b.GetPool())
		for _, s := range b.GetShares() {
			state := "open"
			if s.GetClosed() {
				state = "closed"
			}
			_, _ = fmt.Fprintf(w, "\t\t\t\t\t%s\t%d\t%d\t%s\n", s.GetIncarnation(), s.GetGranted(), s.GetSpent(), state)
		}
	}
}
