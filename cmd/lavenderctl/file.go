package main

import (
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protojson"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/fleetfile"
)

// fleetFileFlags are the flags that apply and diff share.
type fleetFileFlags struct {
	File  string `short:"f" help:"Fleet file (protojson of operator.v1.Fleet)." type:"existingfile" required:""`
	Prune bool   `help:"Delete resources that the file doesn't declare, except drains, and except operator tokens when the file declares none."`
}

func (f *fleetFileFlags) read() (*fleetfile.File, error) {
	data, err := os.ReadFile(f.File)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return fleetfile.Parse(data)
}

type applyCmd struct {
	fleetFileFlags
	Check bool `help:"Only validate the file."`
}

// Run applies the file.
func (c *applyCmd) Run(ctx context.Context, root *cli) error {
	file, err := c.read()
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Printf("%s is valid: %d resources and %d top-ups\n", c.File, len(file.Resources), len(file.TopUps))
		return nil
	}
	return root.withConnection(ctx, func(conn *connection) error {
		outcome, err := fleetfile.Apply(conn.ctx, conn.client, file, c.Prune)
		for _, step := range outcome.Plan {
			fmt.Printf("%s %s at version %d\n", step.Action, step.Key, outcome.Version)
		}
		fmt.Printf("%d resources changed, %d top-ups in effect\n", len(outcome.Plan), outcome.TopUps)
		return err
	})
}

type diffCmd struct{ fleetFileFlags }

// Run shows what applying the file would change, without changing anything.
func (c *diffCmd) Run(ctx context.Context, root *cli) error {
	file, err := c.read()
	if err != nil {
		return err
	}
	return root.withConnection(ctx, func(conn *connection) error {
		current, _, err := fleetfile.ReadResources(conn.ctx, conn.client)
		if err != nil {
			return errors.Trace(err)
		}
		plan := fleetfile.NewPlan(current, file, c.Prune)
		for _, step := range plan {
			printStep(step)
		}
		fmt.Printf("%d resources would change; %d top-ups would be sent, each of which takes effect only once\n", len(plan), len(file.TopUps))
		return nil
	})
}

func printStep(step fleetfile.Step) {
	fmt.Printf("%s %s\n", step.Action, step.Key)
	if step.Current != nil {
		fmt.Printf("  current: %s\n", oneLine(step.Current))
	}
	if step.Action != fleetfile.ActionDelete {
		fmt.Printf("  desired: %s\n", oneLine(step.Change.GetResource()))
	}
}

func oneLine(r *operatorv1.Resource) string {
	text, err := protojson.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

type exportCmd struct{}

// Run prints the current resources as a fleet file.
func (c *exportCmd) Run(ctx context.Context, root *cli) error {
	return root.withConnection(ctx, func(conn *connection) error {
		current, _, err := fleetfile.ReadResources(conn.ctx, conn.client)
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Println(protojson.Format(fleetfile.Export(current)))
		return nil
	})
}
