package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protojson"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/fleetfile"
)

type listCmd struct{}

// Run lists the resources.
func (c *listCmd) Run(ctx context.Context, root *cli) error {
	return root.withConnection(ctx, func(conn *connection) error {
		resources, offset, err := fleetfile.ReadResources(conn.ctx, conn.client)
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Printf("offset %d\n", offset)
		for _, r := range resources {
			printResource(r)
		}
		return nil
	})
}

func printResource(r *operatorv1.VersionedResource) {
	key, _ := config.KeyOf(r.GetResource())
	if r.GetDeleted() {
		fmt.Printf("%s version %d deleted\n", key, r.GetVersion())
		return
	}
	fmt.Printf("%s version %d %s\n", key, r.GetVersion(), protojson.Format(r.GetResource()))
}

type watchCmd struct{}

// Run prints changes until interrupted.
func (c *watchCmd) Run(ctx context.Context, root *cli) error {
	conn, err := root.connect(ctx)
	if err != nil {
		return err
	}
	defer conn.close()
	stream, err := conn.client.Watch(conn.ctx, &operatorv1.WatchRequest{})
	if err != nil {
		return errors.Trace(err)
	}
	for {
		change, err := stream.Recv()
		if err == io.EOF || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		printResource(change.GetResource())
	}
}

type nodesCmd struct{}

// Run shows the nodes.
func (c *nodesCmd) Run(ctx context.Context, root *cli) error {
	return root.withConnection(ctx, func(conn *connection) error {
		response, err := conn.client.Nodes(conn.ctx, &operatorv1.NodesRequest{})
		if err != nil {
			return errors.Trace(err)
		}
		w := newTable()
		fmt.Fprintln(w, "INCARNATION\tSTATE\tREGION\tDATA CENTRE\tHTTP\tOPERATOR\tPEER")
		for _, n := range response.GetNodes() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", n.GetIncarnation(), n.GetState(), n.GetRegion(), n.GetDataCentre(),
				n.GetHttpAddress(), n.GetOperatorAddress(), n.GetPeerAddress())
		}
		return w.Flush()
	})
}

func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0) }
