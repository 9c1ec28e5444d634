package daemon_test

import (
	"context"
	"os"
	"testing"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/matryer/is"
	"google.golang.org/grpc/metadata"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/devfleet"
)

func TestMain(m *testing.M) {
	hlog.SetLevel(hlog.LevelFatal) // the HTTP library would log every connection
	os.Exit(m.Run())
}

// Guards against a process that never ends because an operator watches the configuration.
func TestOpenWatchDoesNotKeepTheProcess(t *testing.T) {
	is := is.New(t)
	here := devfleet.Location{Region: "gulf-maine", DataCentre: "casco"}
	fleet, err := devfleet.Start(devfleet.Options{Nodes: []devfleet.Location{here}})
	is.NoErr(err)
	conn, err := fleet.DialOperator(0)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(metadata.AppendToOutgoingContext(t.Context(), "authorization", "Bearer "+devfleet.OperatorToken))
	defer cancel()
	watch, err := operatorv1.NewOperatorServiceClient(conn).Watch(ctx, &operatorv1.WatchRequest{})
	is.NoErr(err)
	is.NoErr(fleet.Apply(t.Context(), fleet.SampleConfig()))
	_, err = watch.Recv()
	is.NoErr(err) // the watch is open
	fleet.Stop()
	_, err = watch.Recv()
	for err == nil {
		_, err = watch.Recv()
	}
	is.True(ctx.Err() == nil) // the node ended the watch
}
