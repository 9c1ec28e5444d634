package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/devfleet"
	"lavenderpin.dev/lavenderpin/internal/standin"
)

type devCmd struct {
	TokenTime time.Duration `help:"Time between two tokens of the embedded engines." default:"20ms"`
	Verbose   bool          `help:"Show the nodes' logs."`
}

// Run serves until a signal cancels ctx.
func (c *devCmd) Run(ctx context.Context) error {
	logger := log.NewNopLogger()
	if c.Verbose {
		logger = newLogger()
	}
	bohemiaA := devfleet.Location{Region: "cz-bohemia", DataCentre: "praha-a"}
	bohemiaB := devfleet.Location{Region: "cz-bohemia", DataCentre: "plzen-a"}
	morava := devfleet.Location{Region: "cz-morava", DataCentre: "brno-a"}
	fleet, err := devfleet.Start(devfleet.Options{
		Nodes:         []devfleet.Location{bohemiaA, bohemiaB, morava},
		Engines:       []devfleet.Location{bohemiaA, bohemiaB, morava},
		PlainServices: []devfleet.Location{bohemiaA},
		Engine:        standin.EngineOptions{TokenTime: c.TokenTime},
		Logger:        logger,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer fleet.Stop()
	if err := fleet.Apply(ctx, fleet.SampleConfig()); err != nil {
		return errors.Trace(err)
	}
	address := fleet.Daemons[0].Node().Settings().HTTPAddress
	fmt.Printf("A fleet of %d nodes is serving. Try:\n\n", len(fleet.Daemons))
	fmt.Printf("curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '%s'\n\n", address, devfleet.SampleAccountKey,
		`{"model":"`+devfleet.SampleModel+`","stream":true,"max_tokens":32,"messages":[{"role":"user","content":"which price looks wrong in this basket"}]}`)
	fmt.Printf("lavenderctl --plaintext --address %s --token %s budgets\n\n", fleet.Daemons[0].Node().Settings().OperatorAddress, devfleet.OperatorToken)
	fmt.Println("Press Ctrl-C to stop.")
	<-ctx.Done()
	return nil
}
