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

// sickClient is upstreams that all fail.
type sickClient struct {
	upstream.Client
	sent atomic.Int64
}

func (c *sickClient) Call(context.Context, *operatorv1.Upstream, upstream.CallRequest) (upstream.CallResponse, error) {
	c.sent.Add(1)
	return upstream.CallResponse{}, result.New(result.UpstreamFailed, "sick")
}

func TestRetriesAddAtMostTenPercentLoad(t *testing.T) {
	// All instances of a service fail, and every read could be tried three times. The
	// sick service would get three times its load just when it can bear least.
	const calls = 2000
	is := is.New(t)
	s := newSite(t)
	for _, name := range []string{"one", "two", "three"} {
		s.declareUpstream(name, "orders", "127.0.0.1:1")
	}
	s.apply()
	client := &sickClient{}
	n := s.newServer("a")
	n.Client, n.Retries = client, admission.NewRetryBudget()
	var wait sync.WaitGroup
	for range calls {
		wait.Go(func() { _, _ = n.Call(context.Background(), order("GET", "quote")) })
	}
	wait.Wait()
	is.Equal(n.settled(t), uint64(0))
	is.True(client.sent.Load() > calls)              // some were tried again
	is.True(client.sent.Load() <= calls+calls/10+10) // a tenth, and the reserve
}
