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
	maxCallAfterLeaving = 3 * time.Second
	leavingCount        = 10
	testService         = "work"
)

// slowInstances delays each List response by 0.9 s, almost the time that a node waits for it; the
// response holds the list from before the delay.
type slowInstances struct{ ports.InstanceList }

func (l slowInstances) List(ctx context.Context) ([]*platformv1.Instance, error) {
	list, err := l.InstanceList.List(ctx)
	sleep(ctx, 900*time.Millisecond)
	return list, err
}

// sleep waits for d or until ctx is done: a bubble's time stands still once its test has returned.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// callRecorder is a client for plain upstreams that records when each was last sent a call.
type callRecorder struct {
	upstream.Client
	mu        sync.Mutex
	lastCalls map[string]time.Time
	total     int
}

func (w *callRecorder) Call(_ context.Context, to *operatorv1.Upstream, r upstream.CallRequest) (upstream.CallResponse, error) {
	if r.Method != "POST" {
		return upstream.CallResponse{}, errors.New("plain upstreams report no load")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastCalls[to.GetName()] = time.Now()
	w.total++
	return upstream.CallResponse{Status: 200}, nil
}

func (w *callRecorder) lastCall(name string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastCalls[name]
}

// awaitCall returns true as soon as the named upstream is sent a call, or false after ten seconds
// without one. Upstreams are picked at random: one in three hundred gets no call for a second.
func (w *callRecorder) awaitCall(name string) bool {
	started := time.Now()
	for time.Since(started) < 10*time.Second {
		if !w.lastCall(name).Before(started) {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// startWorkFleet starts three nodes with one caller each, and leavingCount+1 upstreams.
func startWorkFleet(t *testing.T) (*basicFleet, []*runningNode, *callRecorder) {
	is := is.New(t)
	f := newBasicFleet(t)
	recorder := &callRecorder{lastCalls: map[string]time.Time{}}
	f.instanceList, f.upstreams = slowInstances{f.instances}, recorder
	nodes := f.startAll(3)
	resources := []*operatorv1.Resource{
		{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{Name: "a", Team: "t", KeySha256: []string{config.HashKey("key")}}}},
		{Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{Name: testService, Kind: operatorv1.ServiceKind_SERVICE_KIND_PLAIN,
			Calls: []*operatorv1.Call{{Method: "POST", Path: "/", Tokens: 1}}}}},
		{Kind: &operatorv1.Resource_Budget{Budget: &operatorv1.Budget{Name: "b", Account: "a", Services: []string{testService}}}},
	}
	for i := range leavingCount + 1 {
		resources = append(resources, &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: workUpstream(i)}})
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
				_, _ = n.Requests().Call(t.Context(), postCall())
				sleep(t.Context(), 50*time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	return f, nodes, recorder
}

func workUpstream(i int) *operatorv1.Upstream {
	return &operatorv1.Upstream{Name: fmt.Sprint("w", i), Service: testService, Address: fmt.Sprintf("127.0.0.1:%d", 4000+i),
		Region: "gulf-maine", DataCentre: "casco"}
}

func postCall() request.ServiceCall {
	return request.ServiceCall{Key: "key", Service: testService, Method: "POST", Path: "/order"}
}

// The platform's list, which responds slowly, shows one upstream after another as leaving, at
// different times between two polls. Calls that a node still sends to an upstream three seconds
// later are lost with it.
func TestLastCallToLeavingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _, recorder := startWorkFleet(t)
		var list []*platformv1.Instance
		leavingSince := map[string]time.Time{}
		for i := range leavingCount {
			name := workUpstream(i).GetName()
			is.True(recorder.awaitCall(name)) // in use until it leaves
			list = append(list, &platformv1.Instance{Address: workUpstream(i).GetAddress(), Role: "upstream",
				State: platformv1.InstanceState_INSTANCE_STATE_LEAVING})
			f.instances.Set(list)
			leavingSince[name] = time.Now()
			time.Sleep(5*time.Second + 100*time.Millisecond)
		}
		checkLastCalls(is, recorder, leavingSince)
	})
}

// Operators drain one upstream after another. Soon after the change is accepted, no node may send
// the upstream any more calls.
func TestLastCallToDrainingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, nodes, recorder := startWorkFleet(t)
		leavingSince := map[string]time.Time{}
		for i := range leavingCount {
			drained := workUpstream(i)
			is.True(recorder.awaitCall(drained.GetName()))
			drained.Draining = true
			change := &operatorv1.Change{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: drained}}}
			verdict, err := nodes[i%len(nodes)].change(0, fmt.Sprint("d", i), change)
			is.NoErr(err)
			is.True(verdict.OK())
			leavingSince[drained.GetName()] = time.Now()
			time.Sleep(5*time.Second + 100*time.Millisecond)
		}
		checkLastCalls(is, recorder, leavingSince)
	})
}

func checkLastCalls(is *is.I, recorder *callRecorder, leavingSince map[string]time.Time) {
	is.Helper()
	for name, since := range leavingSince {
		is.True(recorder.lastCall(name).Sub(since) < maxCallAfterLeaving)
	}
	is.True(time.Since(recorder.lastCall(workUpstream(leavingCount).GetName())) < time.Second) // the remaining one
	is.True(recorder.total > 1000)
}
