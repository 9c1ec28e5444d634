// Command wholeanswers is the case that output tokens count only if they come as a stream, so that a tenant gets more than its prepaid
// on a route whose answers come whole.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/review/testdata/fleet2"
)

const (
	prepaid      = 300_000
	promptTokens = 100
	outputTokens = 600
	senders      = 16
	span         = 40 * time.Second
	// configApply is configApplyMs.
	configApply = 3 * time.Second
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
	services := []fleet2.Service{{Name: "models", KVCapacity: 556_662, Slots: 32}}
	routes := []fleet2.Route{{Name: "report", Prefix: "/report/", Kind: "streaming", Service: "models", TimeoutMs: 15_000, ObjectiveMs: 800, MaxAttempts: 2, Resume: true}}
	tenants := []fleet2.Tenant{{Name: "small", Key: "k-small", Prepaid: prepaid}, {Name: "other", Key: "k-other", Prepaid: 10 * prepaid}}
	f.Configure(3, services, routes, tenants)
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
	added, accept := fleet2.Route{Name: "tag", Prefix: "/tag/", Kind: "streaming", Service: "models", TimeoutMs: 15_000, ObjectiveMs: 800, MaxAttempts: 2, Resume: true}, ""
	if fleet2.Trouble() {
		added.Kind, added.Resume, accept = "idempotent", false, fleet2.JSON
	}
	f.Configure(8, services, append(routes, added), tenants)
	time.Sleep(configApply + time.Second)
	s := &sender{f: f, client: fleet2.NewClient(), accept: accept, statuses: make(map[int]int), delivered: make(map[string]int64)}
	s.run()
	time.Sleep(time.Second)
	return s.judge(engines)
}

type sender struct {
	f      *fleet2.Fleet
	client *fleet2.Client
	accept string

	mu       sync.Mutex
	statuses map[int]int
	// delivered are the output tokens that the client got of each request.
	delivered map[string]int64
}

// run has the tenant send more than its prepaid covers on the added route, to all nodes in turn.
func (s *sender) run() {
	until := time.Now().Add(span)
	var all sync.WaitGroup
	for i := range senders {
		all.Go(func() {
			for n := i; time.Now().Before(until); n++ {
				s.send(s.f.Nodes[n%len(s.f.Nodes)])
			}
		})
	}
	all.Wait()
}

func (s *sender) send(n *fleet2.Node) {
	r := fleet2.Request{ID: fleet2.NewID(), Path: "/tag/a", Key: "k-small", Accept: s.accept, TokenCount: fmt.Sprintf("%d,%d", promptTokens, outputTokens), Deadline: 15 * time.Second}
	a := s.client.Send(n.Frontend, r)
	tokens := int64(len(a.Events) * fleet2.TokensPerEvent)
	var whole struct {
		Tokens int64 `json:"tokens"`
	}
	if a.Status == 200 && a.Complete && json.Unmarshal([]byte(a.Body), &whole) == nil {
		tokens += whole.Tokens
	}
	s.f.Logf("sent %s of %s tokens to %s: answered %d with %d output tokens, complete %t", r.ID, r.TokenCount, n.Name, a.Status, tokens, a.Complete)
	s.mu.Lock()
	s.statuses[a.Status]++
	s.delivered[r.ID] = min(outputTokens, tokens)
	s.mu.Unlock()
	if a.Status != 200 {
		time.Sleep(200 * time.Millisecond)
	}
}

// judge compares what the tenant got with its prepaid: input tokens once for each request that ran, and delivered output tokens.
func (s *sender) judge(engines []*fleet2.Engine) int {
	tokens, seen := int64(0), make(map[string]bool)
	for _, e := range engines {
		for _, r := range e.Runs() {
			s.f.Logf("ran %s for %s at %s, %d prompt tokens, %s", r.ID, r.Tenant, r.Engine, r.PromptTokens, r.Ended)
			if r.Tenant != "small" || seen[r.ID] {
				continue
			}
			seen[r.ID] = true
			tokens += r.PromptTokens + s.delivered[r.ID]
		}
	}
	summary := fmt.Sprintf("BUDGET: the tenant got %d tokens in %d requests, its prepaid is %d; answers by status: %v", tokens, len(seen), prepaid, s.statuses)
	s.f.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case tokens > prepaid:
		return fleet2.Broken
	case tokens < prepaid/2: // the deployment didn't serve
		return fleet2.NotRun
	}
	return fleet2.Held
}
