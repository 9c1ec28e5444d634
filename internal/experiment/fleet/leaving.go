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
	leavingPause = 20 * time.Millisecond
	// leavingWatch is how long is looked for work after an upstream began to leave.
	leavingWatch = 4 * time.Second
	// leavingPhase shifts each departure against the interval at which nodes read the list.
	leavingPhase = 130 * time.Millisecond
)

// LeavingLatency is when the last call reached upstreams that leave, counted until its answer.
type LeavingLatency struct {
	Nodes, Upstreams, Calls int
	// Listed is from when the platform's list shows the upstream as leaving, Drained from
	// the answer to the operator who drains it. In microseconds.
	Listed, Drained *hdrhistogram.Histogram
}

// leavingFleet is a fleet over loopback with a caller at every node.
type leavingFleet struct {
	fleet *devfleet.Fleet
	mu    sync.Mutex
	// answered is when each call was answered, by its body.
	answered map[string]time.Time
}

// MeasureLeavingLatency lets twice count upstreams leave one after the other, half of them by the
// platform's list and half drained by operators, while every node has a caller.
func MeasureLeavingLatency(nodes, count int) (LeavingLatency, error) {
	options := devfleet.Options{}
	for i := range nodes {
		options.Nodes = append(options.Nodes, devfleet.Location{Region: places[i%len(places)].region, DataCentre: places[i%len(places)].centre})
	}
	for range 2*count + 1 {
		options.PlainServices = append(options.PlainServices, devfleet.Location{Region: places[0].region, DataCentre: places[0].centre})
	}
	fleet, err := devfleet.Start(options)
	if err != nil {
		return LeavingLatency{}, errors.Trace(err)
	}
	defer fleet.Stop()
	f := &leavingFleet{fleet: fleet, answered: map[string]time.Time{}}
	wanted := fleet.SampleConfig()
	if err := fleet.Apply(context.Background(), wanted); err != nil {
		return LeavingLatency{}, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range fleet.Daemons {
		callers.Go(func() { f.call(ctx, i) })
	}
	defer callers.Wait()
	defer cancel()
	time.Sleep(leavingWatch)
	l := LeavingLatency{Nodes: nodes, Upstreams: count, Listed: newHistogram(), Drained: newHistogram()}
	var list []*platformv1.Instance
	for i := range count {
		list = append(list, &platformv1.Instance{Address: fleet.PlainUpstreams[i].GetAddress(), Role: "upstream",
			State: platformv1.InstanceState_INSTANCE_STATE_LEAVING})
		fleet.Instances.Set(list)
		f.watch(i, l.Listed)
	}
	for i := count; i < 2*count; i++ {
		fleet.PlainUpstreams[i].Draining = true
		if err := fleet.Apply(ctx, wanted); err != nil {
			return LeavingLatency{}, errors.Trace(err)
		}
		f.watch(i, l.Drained)
	}
	l.Calls = len(f.answered)
	return l, nil
}

// watch records when the last call reached an upstream that leaves from now on.
func (f *leavingFleet) watch(i int, h *hdrhistogram.Histogram) {
	from := time.Now()
	time.Sleep(leavingWatch + time.Duration(i)*leavingPhase)
	last := time.Duration(0)
	f.mu.Lock()
	defer f.mu.Unlock()
	for body := range f.fleet.PlainServices[i].Runs() {
		last = max(last, f.answered[body].Sub(from))
	}
	_ = h.RecordValue(max(last.Microseconds(), 1))
}

func (f *leavingFleet) call(ctx context.Context, i int) {
	url := "http://" + f.fleet.Daemons[i].Node().Settings().HTTPAddress + "/s/orders/work"
	for n := 0; ctx.Err() == nil; n++ {
		body := fmt.Sprintf("%d-%d", i, n)
		if f.post(ctx, url, body) == nil {
			f.mu.Lock()
			f.answered[body] = time.Now()
			f.mu.Unlock()
		}
		time.Sleep(leavingPause)
	}
}

func (f *leavingFleet) post(ctx context.Context, url, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+devfleet.SampleAccountKey)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("answered %d", answer.StatusCode)
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return errors.Trace(err)
}

// WriteLeavingLatency writes one row.
func WriteLeavingLatency(w io.Writer, l LeavingLatency) error {
	_, err := fmt.Fprintf(w, "| Nodes | Upstreams each | Calls | Last call after the list shows it, p50 / max ms | After an operator's answer, p50 / max ms |\n|---|---|---|---|---|\n| %d | %d | %d | %.0f / %.0f | %.0f / %.0f |\n",
		l.Nodes, l.Upstreams, l.Calls, at(l.Listed, 50), at(l.Listed, 100), at(l.Drained, 50), at(l.Drained, 100))
	return errors.Trace(err)
}
