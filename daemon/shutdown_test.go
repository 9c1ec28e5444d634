package daemon_test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/matryer/is"
	"google.golang.org/grpc/metadata"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/devfleet"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
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

// Guards against closing the connection of a caller whose request the end of the node cut, before
// it was told so.
func TestCallerOfCutRequestIsAnswered(t *testing.T) {
	is := is.New(t)
	here := devfleet.Location{Region: "gulf-maine", DataCentre: "casco"}
	fleet, err := devfleet.Start(devfleet.Options{
		Nodes: []devfleet.Location{here}, Engines: []devfleet.Location{here},
		Engine: standin.EngineOptions{TokenTime: time.Minute}, DrainTimeout: 4 * time.Second,
	})
	is.NoErr(err)
	is.NoErr(fleet.Apply(t.Context(), fleet.SampleConfig()))
	node := fleet.Daemons[0].Node()
	for node.Ledger().Budget("dev-budget").Prepaid == 0 {
		time.Sleep(time.Millisecond)
	}
	body := `{"model":"` + devfleet.SampleModel + `","messages":[{"role":"user","content":"a b c"}]}`
	request, err := http.NewRequest("POST", "http://"+node.Settings().HTTPAddress+"/v1/chat/completions", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+devfleet.SampleAccountKey)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for node.Requests().InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		fleet.Stop()
	}()
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	var failure struct {
		Error struct {
			Code   result.Code
			NotRun bool `json:"not_run"`
		}
	}
	is.NoErr(json.NewDecoder(response.Body).Decode(&failure))
	is.Equal(failure.Error.Code, result.Draining)
	is.True(!failure.Error.NotRun)
	is.True(response.Header.Get("Retry-After") != "")
	<-stopped
}
