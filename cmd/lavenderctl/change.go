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
	Budget string `arg:"" help:"Budget."`
	Tokens uint64 `arg:"" help:"Tokens to add."`
	ID     string `help:"Id that makes a repeated call harmless; made up when empty."`
}

// Run adds the tokens.
func (c *topUpCmd) Run(ctx context.Context, root *cli) error {
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	return root.call(ctx, func(conn *connection) error {
		topUp := &operatorv1.TopUp{Id: c.ID, Budget: c.Budget, Tokens: c.Tokens}
		answer, err := conn.client.TopUp(conn.ctx, &operatorv1.TopUpRequest{TopUp: topUp})
		if err != nil {
			return errors.Annotatef(err, "top-up %s; the same --id may be sent again", c.ID)
		}
		fmt.Printf("top-up %s in force at %d\n", c.ID, answer.GetVersion())
		return nil
	})
}

type deleteCmd struct {
	Kind string `arg:"" help:"account, budget, service, upstream or operator_token."`
	Name string `arg:"" help:"Name of the resource."`
}

// Run deletes the resource at the version it has now.
func (c *deleteCmd) Run(ctx context.Context, root *cli) error {
	key := config.Key{Kind: config.Kind(c.Kind), Name: c.Name}
	return root.change(ctx, key, func(change *operatorv1.Change) { change.Delete = true })
}

type drainCmd struct {
	Upstream string `arg:"" help:"Upstream."`
	Undo     bool   `help:"Put it back into service."`
}

// Run drains the upstream.
func (c *drainCmd) Run(ctx context.Context, root *cli) error {
	key := config.Key{Kind: config.KindUpstream, Name: c.Upstream}
	return root.change(ctx, key, func(change *operatorv1.Change) {
		change.GetResource().GetUpstream().Draining = !c.Undo
	})
}

// change reads a resource, edits it and sends it against the version read.
func (c *cli) change(ctx context.Context, key config.Key, edit func(*operatorv1.Change)) error {
	return c.call(ctx, func(conn *connection) error {
		held, err := fleetfile.ReadResource(conn.ctx, conn.client, key)
		if err != nil {
			return errors.Trace(err)
		}
		change := &operatorv1.Change{BaseVersion: held.GetVersion(), Resource: proto.Clone(held.GetResource()).(*operatorv1.Resource)}
		edit(change)
		answer, err := conn.client.Apply(conn.ctx, &operatorv1.ApplyRequest{ChangeId: uuid.NewString(), Changes: []*operatorv1.Change{change}})
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Printf("%s changed at version %d\n", key, answer.GetVersion())
		return nil
	})
}
