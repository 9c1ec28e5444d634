package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/platform"
	"lavenderpin.dev/lavenderpin/quarantine"
)

// partsTimeout bounds reading and changing the blocked parts in the store.
const partsTimeout = 10 * time.Second

// administerParts prints the blocked parts of prompts or, if lift is set, lifts the block of one.
func administerParts(settings platform.Settings, lift string) error {
	dial, err := dialerOf(&settings)
	if err != nil {
		return errors.Trace(err)
	}
	topic := platform.NewStore(settings.Store.Address, bootclock.System{}, dial).Topic(quarantine.BlocksTopicName)
	ctx, cancel := context.WithTimeout(context.Background(), partsTimeout)
	defer cancel()
	if lift == "" {
		return printBlockedParts(ctx, topic, os.Stdout)
	}
	return errors.Trace(quarantine.LiftInStore(ctx, topic, clockwork.NewRealClock(), lift, operatorName()))
}

// operatorName names who runs the command, for the nodes' logs.
func operatorName() string {
	current, err := user.Current()
	if err != nil {
		return "operator"
	}
	return current.Username
}

func printBlockedParts(ctx context.Context, topic keyedlog.Topic, out io.Writer) error {
	blocks, err := quarantine.ReadBlocks(ctx, topic)
	if err != nil {
		return errors.Trace(err)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "PART\tMODEL\tACCOUNT\tWRITTEN\tTRIALS")
	for _, b := range blocks {
		if !b.Blocked {
			continue
		}
		account := b.Account
		if account == "" {
			account = "all"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", b.Name, b.Model, account, time.UnixMilli(b.WrittenAtMs).UTC().Format(time.RFC3339), b.Trials)
	}
	return errors.Trace(w.Flush())
}
