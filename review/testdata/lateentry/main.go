// Command lateentry is the case that a late entry of an engine that has left brings it back at the nodes.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/review/testdata/fleet2"
)

const (
	// The figures of the pages: drainMs and stableWindowMs of the deployment, three intervals of heartbeatMs, and how late a call
	// without an answer may be executed at most.
	drain, stableWindow, lapse, maxLate = 3 * time.Second, 4 * time.Second, 3600 * time.Millisecond, 6 * time.Second
	// lostFor is how long answers of the store are lost.
	lostFor = 4500 * time.Millisecond
	// served is how long the engine serves after its entry was removed: drainMs and a little longer.
	served  = drain + 1500*time.Millisecond
	senders = 12
)

func main() { os.Exit(play()) }

func play() int {
	f, err := fleet2.New(fleet2.RecordName())
	if err != nil {
		fmt.Println(err)
		return fleet2.NotRun
	}
	defer f.Close()
	var engines []*fleet2.Engine
	for i, zone := range []string{"casco", "penobscot", "buzzards"} {
		e, err := fleet2.NewEngine(fmt.Sprintf("i-%08x", i+1), "orders", zone, 0, 6)
		if err != nil {
			f.Logf("no engine: %v", err)
			return fleet2.NotRun
		}
		e.FirstEvent = 120 * time.Millisecond
		go e.Beat(f.Store)
		engines = append(engines, e)
	}
	for _, e := range engines[1:] {
		defer e.Close()
	}
	f.Configure(3, []fleet2.Service{{Name: "orders"}},
		[]fleet2.Route{{Name: "file", Prefix: "/file/", Kind: "non_idempotent", Service: "orders", TimeoutMs: 4_000, ObjectiveMs: 300, MaxAttempts: 1}},
		[]fleet2.Tenant{{Name: "small", Key: "k-small", Prepaid: 1_000_000}})
	for _, zone := range []string{"casco", "penobscot", "buzzards"} {
		if _, err := f.AddNode(zone); err != nil {
			f.Logf("no node: %v", err)
			return fleet2.NotRun
		}
	}
	if err := f.AwaitReady(30 * time.Second); err != nil {
		f.Logf("%v", err)
		return fleet2.NotRun
	}
	time.Sleep(3 * time.Second)

	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	var leftAt time.Time
	client := fleet2.NewClient()
	for s := range senders {
		all.Go(func() {
			for i := s; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				n := f.Nodes[i%len(f.Nodes)]
				r := fleet2.Request{ID: fleet2.NewID(), Path: "/file/a", Key: "k-small", Deadline: 4 * time.Second}
				at := time.Now()
				a := client.Send(n.Frontend, r)
				f.Logf("sent %s at %s to %s: answered %d %q %v", r.ID, at.UTC().Format("15:04:05.000"), n.Name, a.Status, a.Body, a.Err)
				if a.Status != 200 && a.Status != 429 && a.Status != 503 {
					mu.Lock()
					cut++
					mu.Unlock()
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}

	gone := engines[0]
	// The answers of the store are lost for a while; one call of the engine, sent at the end of it, is executed late.
	time.Sleep(lostFor - 100*time.Millisecond)
	if fleet2.Trouble() {
		late := maxLate - 100*time.Millisecond
		gone.BeatLate(f.Store, late)
		f.Logf("an entry of %s gets no answer; the store executes it after %s", gone.ID, late)
	}
	time.Sleep(100 * time.Millisecond)
	// From here on the store isn't in disruption. Once it is stable, the engine leaves as planned, without reporting it.
	time.Sleep(stableWindow + 300*time.Millisecond)
	gone.Leave(f.Store)
	mu.Lock()
	leftAt = time.Now()
	mu.Unlock()
	f.Logf("the entry of %s is removed", gone.ID)
	if fleet2.Trouble() {
		// The store removes the late entry after three heartbeat intervals of silence.
		time.AfterFunc(maxLate-stableWindow-300*time.Millisecond-100*time.Millisecond+lapse, func() { gone.Remove(f.Store) })
	}
	time.Sleep(served)
	runs := gone.Runs()
	gone.Close()
	f.Logf("%s exits", gone.ID)
	time.Sleep(3 * time.Second)
	close(stop)
	all.Wait()
	return judge(f, gone, engines, runs, leftAt, cut)
}

// judge counts the requests that reached the engine later than drainMs after the removal of its entry was acknowledged.
func judge(f *fleet2.Fleet, gone *fleet2.Engine, engines []*fleet2.Engine, runs []fleet2.Run, leftAt time.Time, cut int) int {
	late, total := 0, 0
	for _, e := range engines {
		for _, r := range e.Runs() {
			total++
			f.Logf("ran %s at %s, arrived %s, %s", r.ID, r.Engine, r.At.UTC().Format("15:04:05.000"), r.Ended)
		}
	}
	var last time.Duration
	for _, r := range runs {
		if after := r.At.Sub(leftAt); after > drain {
			late++
			last = max(last, after)
		}
	}
	summary := fmt.Sprintf("DRAIN: %d of %d requests reached %s more than %s after its removal was acknowledged, the last one %s after it; %d non-idempotent requests ended without an answer or with a failure that doesn't say whether they ran",
		late, total, gone.ID, drain, last.Round(time.Millisecond), cut)
	f.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case late > 0:
		return fleet2.Broken
	case total < 100: // the deployment didn't serve
		return fleet2.NotRun
	}
	return fleet2.Held
}
