package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	testPauseLength = 30 * time.Second
	// settlingTime is longer than any interval at which a node asks engines.
	settlingTime = 10 * time.Second
	// maxConcurrentAsks: the load and the models may be asked for at the same moment.
	maxConcurrentAsks = 2
)

// pausingEngine is a client for one engine that refuses calls with a pause when told so, and
// counts them by path.
type pausingEngine struct {
	upstream.Client
	mu     sync.Mutex
	refuse bool
	calls  map[string]int
}

func (e *pausingEngine) Call(ctx context.Context, to *operatorv1.Upstream, r upstream.CallRequest) (upstream.CallResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls[r.Path]++
	if e.refuse {
		upstream.Report(ctx, to, upstream.Notice{Pause: testPauseLength})
		return upstream.CallResponse{Status: 503}, nil
	}
	return upstream.CallResponse{Status: 200, Body: []byte(`{}`)}, nil
}

func (e *pausingEngine) Usage(context.Context, *operatorv1.Upstream, string) (upstream.UsageReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls["usage"]++
	return upstream.UsageReport{State: upstream.UsageUnknown}, nil
}

// reset sets whether calls are refused and returns the calls so far by path.
func (e *pausingEngine) reset(refuse bool) map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	calls := e.calls
	e.refuse, e.calls = refuse, map[string]int{}
	return calls
}

func startPausingFleet(t *testing.T) (*runningNode, *pausingEngine) {
	is := is.New(t)
	f := newBasicFleet(t)
	engine := &pausingEngine{calls: map[string]int{}}
	f.upstreams = engine
	n := f.startAll(1)[0]
	for id, resource := range map[string]*operatorv1.Resource{
		"service": {Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{Name: "chat", Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE,
			Models: []string{"m"}, Desired: []*operatorv1.DesiredModel{{Model: "m", Version: "1", CopiesPerRegion: 1}}}}},
		"upstream": {Kind: &operatorv1.Resource_Upstream{Upstream: pausingUpstream()}},
	} {
		_, err := n.change(0, id, &operatorv1.Change{Resource: resource})
		is.NoErr(err)
	}
	return n, engine
}

func pausingUpstream() *operatorv1.Upstream {
	return &operatorv1.Upstream{Name: testEngine, Service: "chat", Address: "127.0.0.1:3", Region: "gulf-maine", DataCentre: "casco"}
}

// Guards against load reads, cache events, orders and queries of a node reaching an engine that
// asked it for a pause, and against their absence after it.
func TestEngineIsNotAskedDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, engine := startPausingFleet(t)
		time.Sleep(settlingTime)
		used := engine.reset(true)
		for _, path := range []string{"/v1/load", "/v1/cache-events?after=0", "/v1/models"} {
			is.True(used[path] > 0)
		}
		time.Sleep(settlingTime)
		refused := engine.reset(false)
		total := 0
		for _, count := range refused {
			total += count
		}
		is.True(total > 0)
		is.True(total <= maxConcurrentAsks)
		_, err := n.recoveryEngines().Usage(t.Context(), testEngine, "a.1")
		is.Equal(result.CodeOf(err), result.NoUpstream)
		time.Sleep(testPauseLength - settlingTime - time.Second)
		is.Equal(len(engine.reset(false)), 0)
		time.Sleep(settlingTime)
		again := engine.reset(false)
		is.True(again["/v1/load"] > 0)
		is.True(again["/v1/models"] > 0)
	})
}
