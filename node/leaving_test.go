package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	leavingBar  = 3 * time.Second
	workers     = 10
	testService = "work"
)

// slowList answers with what the list held when it was asked, most of the time that a
// node waits later.
type slowList struct{ ports.InstanceList }

func (l slowList) List(ctx context.Context) ([]*platformv1.Instance, error) {
	list, err := l.InstanceList.List(ctx)
	pause(ctx, 900*time.Millisecond)
	return list, err
}

// pause sleeps unless ctx ends: time in a bubble stands still once its test returned.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// workRecorder is plain upstreams that note when each was last sent a call.
type workRecorder struct {
	upstream.Client
	mu    sync.Mutex
	last  map[string]time.Time
	total int
}

func (w *workRecorder) Call(_ context.Context, to *operatorv1.Upstream, r upstream.CallRequest) (upstream.CallResponse, error) {
	if r.Method != "POST" {
		return upstream.CallResponse{}, errors.New("nothing to report")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last[to.GetName()] = time.Now()
	w.total++
	return upstream.CallResponse{Status: 200}, nil
}

func (w *workRecorder) lastOf(name string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last[name]
}

// getsWork returns as soon as an upstream is sent a call, false if it gets none for ten
// seconds. Which one is sent the next is drawn: one in three hundred gets none for one.
func (w *workRecorder) getsWork(name string) bool {
	begun := time.Now()
	for time.Since(begun) < 10*time.Second {
		if !w.lastOf(name).Before(begun) {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// workFleet is three nodes with a caller each, and one upstream more than leave.
func workFleet(t *testing.T) (*smallFleet, []*running, *workRecorder) {
	is := is.New(t)
	f := newSmallFleet(t)
	recorder := &workRecorder{last: map[string]time.Time{}}
	f.list, f.upstreams = slowList{f.instances}, recorder
	nodes := f.startAll(3)
	resources := []*operatorv1.Resource{
		{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{Name: "a", Team: "t", KeySha256: []string{config.HashKey("key")}}}},
		{Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{Name: testService, Kind: operatorv1.ServiceKind_SERVICE_KIND_PLAIN,
			Calls: []*operatorv1.Call{{Method: "POST", Path: "/", Tokens: 1}}}}},
		{Kind: &operatorv1.Resource_Budget{Budget: &operatorv1.Budget{Name: "b", Account: "a", Services: []string{testService}}}},
	}
	for i := range workers + 1 {
		resources = append(resources, &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: worker(i)}})
	}
	for i, resource := range resources {
		_, err := nodes[0].change(0, fmt.Sprint("c", i), &operatorv1.Change{Resource: resource})
		is.NoErr(err)
	}
	_, err := nodes[0].LogWriter().Submit(&recordv1.Entry{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{
		TopUp: &operatorv1.TopUp{Id: "t", Budget: "b", Tokens: 1_000_000}}}}).Wait(t.Context())
	is.NoErr(err)
	for _, n := range nodes {
		go func() {
			for t.Context().Err() == nil {
				_, _ = n.Requests().Call(t.Context(), post())
				pause(t.Context(), 50*time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	return f, nodes, recorder
}

func worker(i int) *operatorv1.Upstream {
	return &operatorv1.Upstream{Name: fmt.Sprint("w", i), Service: testService, Address: fmt.Sprintf("127.0.0.1:%d", 4000+i),
		Region: "gulf-maine", DataCentre: "casco"}
}

func post() request.ServiceCall {
	return request.ServiceCall{Key: "key", Service: testService, Method: "POST", Path: "/order"}
}

// The platform's list, which answers slowly, shows upstreams as leaving one after the
// other, at different moments between two looks at it. Calls that a node still sends
// there three seconds later are lost with the upstream.
func TestLastCallToLeavingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _, recorder := workFleet(t)
		var list []*platformv1.Instance
		shown := map[string]time.Time{}
		for i := range workers {
			name := worker(i).GetName()
			is.True(recorder.getsWork(name)) // until then
			list = append(list, &platformv1.Instance{Address: worker(i).GetAddress(), Role: "upstream",
				State: platformv1.InstanceState_INSTANCE_STATE_LEAVING})
			f.instances.Set(list)
			shown[name] = time.Now()
			time.Sleep(5*time.Second + 100*time.Millisecond)
		}
		checkLast(is, recorder, shown)
	})
}

// Operators drain upstreams one after the other. Each must get no more work soon after
// the answer that accepts the change, from whichever node.
func TestLastCallToDrainingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, nodes, recorder := workFleet(t)
		shown := map[string]time.Time{}
		for i := range workers {
			drained := worker(i)
			is.True(recorder.getsWork(drained.GetName()))
			drained.Draining = true
			change := &operatorv1.Change{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: drained}}}
			verdict, err := nodes[i%len(nodes)].change(0, fmt.Sprint("d", i), change)
			is.NoErr(err)
			is.True(verdict.OK())
			shown[drained.GetName()] = time.Now()
			time.Sleep(5*time.Second + 100*time.Millisecond)
		}
		checkLast(is, recorder, shown)
	})
}

func checkLast(is *is.I, recorder *workRecorder, shown map[string]time.Time) {
	is.Helper()
	for name, at := range shown {
		is.True(recorder.lastOf(name).Sub(at) < leavingBar)
	}
	is.True(time.Since(recorder.lastOf(worker(workers).GetName())) < time.Second) // the one that stays works on
	is.True(recorder.total > 1000)
}
