package main

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/fleetfile"
)

type topUpCmd struct {
	Budget string `arg:"" help:"Name of the budget."`
	Tokens uint64 `arg:"" help:"Number of tokens to add."`
	ID     string `help:"Idempotency ID, under which a retry adds the tokens only once; generated when empty."`
}

// Run adds the tokens.
func (c *topUpCmd) Run(ctx context.Context, root *cli) error {
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	return root.withConnection(ctx, func(conn *connection) error {
		topUp := &operatorv1.TopUp{Id: c.ID, Budget: c.Budget, Tokens: c.Tokens}
		response, err := conn.client.TopUp(conn.ctx, &operatorv1.TopUpRequest{TopUp: topUp})
		if err != nil {
			return errors.Annotatef(err, "top-up %s; retry with the same --id", c.ID)
		}
		fmt.Printf("top-up %s took effect at version %d\n", c.ID, response.GetVersion())
		return nil
	})
}

type deleteCmd struct {
	Kind string `arg:"" help:"Kind of the resource: account, budget, service, upstream or operator_token."`
	Name string `arg:"" help:"Name of the resource."`
}

// Run deletes the resource, provided that its version doesn't change meanwhile.
func (c *deleteCmd) Run(ctx context.Context, root *cli) error {
	key := config.Key{Kind: config.Kind(c.Kind), Name: c.Name}
	return root.changeResource(ctx, key, func(change *operatorv1.Change) { change.Delete = true })
}

type drainCmd struct {
	Upstream string `arg:"" help:"Name of the upstream."`
	Undo     bool   `help:"Put the upstream back into service."`
}

// Run drains the upstream, or ends its draining with --undo.
func (c *drainCmd) Run(ctx context.Context, root *cli) error {
	key := config.Key{Kind: config.KindUpstream, Name: c.Upstream}
	return root.changeResource(ctx, key, func(change *operatorv1.Change) {
		change.GetResource().GetUpstream().Draining = !c.Undo
	})
}

// changeResource reads a resource, edits it and applies it with the version read as its base.
func (c *cli) changeResource(ctx context.Context, key config.Key, edit func(*operatorv1.Change)) error {
	return c.withConnection(ctx, func(conn *connection) error {
		current, err := fleetfile.ReadResource(conn.ctx, conn.client, key)
		if err != nil {
			return errors.Trace(err)
		}
		change := &operatorv1.Change{BaseVersion: current.GetVersion(), Resource: proto.Clone(current.GetResource()).(*operatorv1.Resource)}
		edit(change)
		response, err := conn.client.Apply(conn.ctx, &operatorv1.ApplyRequest{ChangeId: uuid.NewString(), Changes: []*operatorv1.Change{change}})
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Printf("%s changed at version %d\n", key, response.GetVersion())
		return nil
	})
}
