package main

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

type partsCmd struct{}

// Run prints the blocked parts of prompts.
func (c *partsCmd) Run(ctx context.Context, root *cli) error {
	return root.withConnection(ctx, func(conn *connection) error {
		response, err := conn.client.BlockedParts(conn.ctx, &operatorv1.BlockedPartsRequest{})
		if err != nil {
			return errors.Trace(err)
		}
		w := newTable()
		fmt.Fprintln(w, "PART\tMODEL\tACCOUNT\tLAST CRASH\tTRIALS")
		for _, p := range response.GetParts() {
			account := p.GetAccount()
			if account == "" {
				account = "all"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s ago\t%d\n", p.GetPart(), p.GetModel(), account, time.Duration(p.GetLastCrashAgoMs())*time.Millisecond, p.GetTrials())
		}
		return w.Flush()
	})
}

type liftCmd struct {
	Part string `arg:"" help:"The part as \"parts\" lists it."`
}

// Run lifts the block of a part.
func (c *liftCmd) Run(ctx context.Context, root *cli) error {
	return root.withConnection(ctx, func(conn *connection) error {
		response, err := conn.client.LiftPart(conn.ctx, &operatorv1.LiftPartRequest{Part: c.Part})
		if err != nil {
			return errors.Trace(err)
		}
		if !response.GetLifted() {
			return errors.Errorf("part %s isn't blocked", c.Part)
		}
		return nil
	})
}
