package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
	"lavenderpin.dev/lavenderpin/devfleet"
)

const (
	callInterval = 20 * time.Millisecond
	// leavingWait is how long calls to an upstream are watched for after it began to leave.
	leavingWait = 4 * time.Second
	// leavingOffset shifts each departure relative to the interval at which nodes poll the
	// platform's list of instances.
	leavingOffset = 130 * time.Millisecond
)

// LeavingLatency measures how long upstreams that are leaving still receive calls, until
// the response to the last one.
type LeavingLatency struct {
	Nodes, Upstreams, Calls int
	// Listed starts when the platform's list shows the upstream as leaving, Drained at the
	// response to the operator who drains it. In microseconds.
	Listed, Drained *hdrhistogram.Histogram
}

// leavingRun is a fleet on loopback with one caller for every node.
type leavingRun struct {
	fleet *devfleet.Fleet
	mu    sync.Mutex
	// answered holds the time of the response to each call, by request body.
	answered map[string]time.Time
}

// MeasureLeavingLatency makes 2*count upstreams leave one after the other, half of them
// through the platform's list and half drained by operators, while every node has a caller.
func MeasureLeavingLatency(nodes, count int) (LeavingLatency, error) {
	options := devfleet.Options{}
	for i := range nodes {
		options.Nodes = append(options.Nodes, devfleet.Location{Region: locations[i%len(locations)].region, DataCentre: locations[i%len(locations)].centre})
	}
	for range 2*count + 1 {
		options.PlainServices = append(options.PlainServices, devfleet.Location{Region: locations[0].region, DataCentre: locations[0].centre})
	}
	fleet, err := devfleet.Start(options)
	if err != nil {
		return LeavingLatency{}, errors.Trace(err)
	}
	defer fleet.Stop()
	run := &leavingRun{fleet: fleet, answered: map[string]time.Time{}}
	config := fleet.SampleConfig()
	if err := fleet.Apply(context.Background(), config); err != nil {
		return LeavingLatency{}, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range fleet.Daemons {
		callers.Go(func() { run.runCaller(ctx, i) })
	}
	defer callers.Wait()
	defer cancel()
	time.Sleep(leavingWait)
	l := LeavingLatency{Nodes: nodes, Upstreams: count, Listed: newHistogram(), Drained: newHistogram()}
	var instances []*platformv1.Instance
	for i := range count {
		instances = append(instances, &platformv1.Instance{Address: fleet.PlainUpstreams[i].GetAddress(), Role: "upstream",
			State: platformv1.InstanceState_INSTANCE_STATE_LEAVING})
		fleet.Instances.Set(instances)
		run.recordLastCall(i, l.Listed)
	}
	for i := count; i < 2*count; i++ {
		fleet.PlainUpstreams[i].Draining = true
		if err := fleet.Apply(ctx, config); err != nil {
			return LeavingLatency{}, errors.Trace(err)
		}
		run.recordLastCall(i, l.Drained)
	}
	l.Calls = len(run.answered)
	return l, nil
}

// recordLastCall records the latency of the last call to an upstream that starts to leave
// now.
func (r *leavingRun) recordLastCall(i int, h *hdrhistogram.Histogram) {
	start := time.Now()
	time.Sleep(leavingWait + time.Duration(i)*leavingOffset)
	last := time.Duration(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	for body := range r.fleet.PlainServices[i].Runs() {
		last = max(last, r.answered[body].Sub(start))
	}
	_ = h.RecordValue(max(last.Microseconds(), 1))
}

func (r *leavingRun) runCaller(ctx context.Context, i int) {
	url := "http://" + r.fleet.Daemons[i].Node().Settings().HTTPAddress + "/s/orders/work"
	for n := 0; ctx.Err() == nil; n++ {
		body := fmt.Sprintf("%d-%d", i, n)
		if r.post(ctx, url, body) == nil {
			r.mu.Lock()
			r.answered[body] = time.Now()
			r.mu.Unlock()
		}
		time.Sleep(callInterval)
	}
}

func (r *leavingRun) post(ctx context.Context, url, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+devfleet.SampleAccountKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected HTTP status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Trace(err)
}

// WriteLeavingLatency writes a Markdown table with one row.
func WriteLeavingLatency(w io.Writer, l LeavingLatency) error {
	_, err := fmt.Fprintf(w, "| Nodes | Upstreams each | Calls | Last call after the list shows it, p50 / max ms | After an operator's answer, p50 / max ms |\n|---|---|---|---|---|\n| %d | %d | %d | %.0f / %.0f | %.0f / %.0f |\n",
		l.Nodes, l.Upstreams, l.Calls, percentileMS(l.Listed, 50), percentileMS(l.Listed, 100),
		percentileMS(l.Drained, 50), percentileMS(l.Drained, 100))
	return errors.Trace(err)
}
