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

// fleetFile is the flag that several commands take.
type fleetFile struct {
	File  string `short:"f" help:"Fleet file (protojson of operator.v1.Fleet)." type:"existingfile" required:""`
	Prune bool   `help:"Delete what the file doesn't name, but for drains, and for operator tokens when the file declares none."`
}

func (f *fleetFile) read() (*fleetfile.File, error) {
	data, err := os.ReadFile(f.File)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return fleetfile.Parse(data)
}

type applyCmd struct {
	fleetFile
	Check bool `help:"Only check the file."`
}

// Run applies the file.
func (c *applyCmd) Run(ctx context.Context, root *cli) error {
	file, err := c.read()
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Printf("%s holds %d resources and %d top-ups, all well-formed\n", c.File, len(file.Resources), len(file.TopUps))
		return nil
	}
	return root.call(ctx, func(conn *connection) error {
		outcome, err := fleetfile.Apply(conn.ctx, conn.client, file, c.Prune)
		for _, step := range outcome.Plan {
			fmt.Printf("%s %s at version %d\n", step.Action, step.Key, outcome.Version)
		}
		fmt.Printf("%d changed, %d top-ups in force\n", len(outcome.Plan), outcome.TopUps)
		return err
	})
}

type diffCmd struct{ fleetFile }

// Run shows what applying the file would change, and sends nothing.
func (c *diffCmd) Run(ctx context.Context, root *cli) error {
	file, err := c.read()
	if err != nil {
		return err
	}
	return root.call(ctx, func(conn *connection) error {
		held, _, err := fleetfile.ReadResources(conn.ctx, conn.client)
		if err != nil {
			return errors.Trace(err)
		}
		plan := fleetfile.NewPlan(held, file, c.Prune)
		for _, step := range plan {
			printStep(step)
		}
		fmt.Printf("%d would change; %d top-ups would be sent, and count once each\n", len(plan), len(file.TopUps))
		return nil
	})
}

func printStep(step fleetfile.Step) {
	fmt.Printf("%s %s\n", step.Action, step.Key)
	if step.Current != nil {
		fmt.Printf("  in force: %s\n", oneLine(step.Current))
	}
	if step.Action != fleetfile.ActionDelete {
		fmt.Printf("  wanted:   %s\n", oneLine(step.Change.GetResource()))
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

// Run prints the resources in force as a fleet file.
func (c *exportCmd) Run(ctx context.Context, root *cli) error {
	return root.call(ctx, func(conn *connection) error {
		held, _, err := fleetfile.ReadResources(conn.ctx, conn.client)
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Println(protojson.Format(fleetfile.Export(held)))
		return nil
	})
}
