// Command lastkey is the case that a deployment's last key is taken away and the nodes serve requests with it on.
package main

import (
	"fmt"
	"os"
	"time"

	"lavenderpin.dev/lavenderpin/review/testdata/fleet2"
)

const (
	// configApply is configApplyMs of the deployment.
	configApply = 3 * time.Second
	span        = 8 * time.Second
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
	tenants := []fleet2.Tenant{{Name: "only", Key: "k-only", Prepaid: 100_000}}
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
	client := fleet2.NewClient()
	before := send(f, client, "before", "k-only", 30)
	if fleet2.Trouble() {
		tenants = nil
	}
	f.Configure(8, services, routes, tenants)
	time.Sleep(configApply + time.Second)
	after := make(map[int]int)
	sentFrom := time.Now()
	for until := time.Now().Add(span); time.Now().Before(until); {
		for status, n := range send(f, client, "after", "k-only", 15) {
			after[status] += n
		}
	}
	strangers := send(f, client, "after", "k-nobody", 15)
	ran, tokens := 0, int64(0)
	for _, e := range engines {
		for _, r := range e.Runs() {
			f.Logf("ran %s for tenant %q at %s, %d prompt tokens, %s", r.ID, r.Tenant, r.Engine, r.PromptTokens, r.Ended)
			if r.At.After(sentFrom) {
				ran++
				tokens += r.PromptTokens + r.Events*fleet2.TokensPerEvent
			}
		}
	}
	summary := fmt.Sprintf("CONFIG: before the second version, answers by status %v; %s and more after it with the same key %v, with a key that never was %v; %d of these requests ran, with %d tokens", before, configApply, after, strangers, ran, tokens)
	f.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case before[200] == 0:
		return fleet2.NotRun
	case fleet2.Trouble() && ran > 0, strangers[200] > 0:
		return fleet2.Broken
	}
	return fleet2.Held
}

// send sends requests with a key to all nodes in turn.
func send(f *fleet2.Fleet, client *fleet2.Client, when, key string, count int) map[int]int {
	statuses := make(map[int]int)
	for i := range count {
		n := f.Nodes[i%len(f.Nodes)]
		r := fleet2.Request{ID: fleet2.NewID(), Path: "/report/a", Key: key, TokenCount: "1000,60", Deadline: 15 * time.Second}
		a := client.Send(n.Frontend, r)
		statuses[a.Status]++
		f.Logf("sent %s %s the change with key %s to %s: answered %d, %d events", r.ID, when, key, n.Name, a.Status, len(a.Events))
		time.Sleep(20 * time.Millisecond)
	}
	return statuses
}
