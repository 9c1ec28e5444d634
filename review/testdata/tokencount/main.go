// Command tokencount is the case that a request that declares the most tokens gives its tenant more than the tenant's prepaid.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/review/testdata/fleet2"
)

const (
	prepaid      = 300_000
	promptTokens = 1_000
	outputTokens = 60
	senders      = 16
	span         = 40 * time.Second
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
		e, err := fleet2.NewEngine(fmt.Sprintf("i-%08x", i+1), "models", zone, 556_662, 32)
		if err != nil {
			f.Logf("no engine: %v", err)
			return fleet2.NotRun
		}
		defer e.Close()
		go e.Beat(f.Store)
		engines = append(engines, e)
	}
	f.Configure(3, []fleet2.Service{{Name: "models", KVCapacity: 556_662, Slots: 32}},
		[]fleet2.Route{{Name: "report", Prefix: "/report/", Kind: "streaming", Service: "models", TimeoutMs: 15_000, ObjectiveMs: 800, MaxAttempts: 2, Resume: true}},
		[]fleet2.Tenant{{Name: "small", Key: "k-small", Prepaid: prepaid}, {Name: "other", Key: "k-other", Prepaid: 10 * prepaid}})
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
	client := fleet2.NewClient()
	if fleet2.Trouble() {
		r := fleet2.Request{ID: fleet2.NewID(), Path: "/report/a", Key: "k-small", TokenCount: "1000,9223372036854775807", Deadline: 5 * time.Second}
		a := client.Send(f.Nodes[0].Frontend, r)
		f.Logf("sent %s of %s tokens to %s: answered %d %s %v", r.ID, r.TokenCount, f.Nodes[0].Name, a.Status, a.Body, a.Err)
	}
	statuses, delivered := send(f, client)
	time.Sleep(time.Second)
	return judge(f, engines, statuses, delivered)
}

// send has the tenant send far more than its prepaid covers, to all nodes in turn.
func send(f *fleet2.Fleet, client *fleet2.Client) (statuses map[int]int, delivered map[string]int) {
	var mu sync.Mutex
	statuses, delivered = make(map[int]int), make(map[string]int)
	until := time.Now().Add(span)
	var all sync.WaitGroup
	for s := range senders {
		all.Go(func() {
			for i := s; time.Now().Before(until); i++ {
				r := fleet2.Request{ID: fleet2.NewID(), Path: "/report/a", Key: "k-small", TokenCount: fmt.Sprintf("%d,%d", promptTokens, outputTokens), Deadline: 15 * time.Second}
				n := f.Nodes[i%len(f.Nodes)]
				a := client.Send(n.Frontend, r)
				f.Logf("sent %s of %s tokens to %s: answered %d, %d events, complete %t", r.ID, r.TokenCount, n.Name, a.Status, len(a.Events), a.Complete)
				mu.Lock()
				statuses[a.Status]++
				delivered[r.ID] = len(a.Events)
				mu.Unlock()
				if a.Status != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	all.Wait()
	return statuses, delivered
}

// judge compares what the tenant got with its prepaid: input tokens once for each request that ran, and delivered output tokens.
func judge(f *fleet2.Fleet, engines []*fleet2.Engine, statuses map[int]int, delivered map[string]int) int {
	tokens, seen := int64(0), make(map[string]bool)
	for _, e := range engines {
		for _, r := range e.Runs() {
			f.Logf("ran %s for %s at %s, %d prompt tokens, %d events, %s", r.ID, r.Tenant, r.Engine, r.PromptTokens, r.Events, r.Ended)
			if r.Tenant != "small" || seen[r.ID] {
				continue
			}
			seen[r.ID] = true
			tokens += r.PromptTokens + min(outputTokens, int64(delivered[r.ID]*fleet2.TokensPerEvent))
		}
	}
	summary := fmt.Sprintf("BUDGET: the tenant got %d tokens in %d requests, its prepaid is %d; answers by status: %v", tokens, len(seen), prepaid, statuses)
	f.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case tokens > prepaid:
		return fleet2.Broken
	case tokens < prepaid/2: // the deployment didn't serve
		return fleet2.NotRun
	}
	return fleet2.Held
}
