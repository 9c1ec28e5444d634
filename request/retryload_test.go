package request

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/admission"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

// failingClient is a client whose calls all fail.
type failingClient struct {
	upstream.Client
	sent atomic.Int64
}

func (c *failingClient) Call(context.Context, *operatorv1.Upstream, upstream.CallRequest) (upstream.CallResponse, error) {
	c.sent.Add(1)
	return upstream.CallResponse{}, result.New(result.UpstreamFailed, "sick")
}

func TestRetriesAddAtMostTenPercentLoad(t *testing.T) {
	// All instances of a service fail, and every read could be tried three times. Without a
	// retry budget the service would get three times its load while it is least able to take it.
	const calls = 2000
	is := is.New(t)
	s := newFixture(t)
	for _, name := range []string{"one", "two", "three"} {
		s.declareUpstream(name, "orders", "127.0.0.1:1")
	}
	s.apply()
	client := &failingClient{}
	n := s.newServer("a")
	n.Client, n.Retries = client, admission.NewRetryBudget()
	var wait sync.WaitGroup
	for range calls {
		wait.Go(func() { _, _ = n.Call(context.Background(), order("GET", "quote")) })
	}
	wait.Wait()
	is.Equal(n.billedTokens(t), uint64(0))
	is.True(client.sent.Load() > calls)              // some were retried
	is.True(client.sent.Load() <= calls+calls/10+10) // ten percent, plus the reserve
}
