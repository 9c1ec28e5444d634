// Command uploads is the case that a node's memory exceeds its limit once it has the requests of machines that are lost.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/review/testdata/fleet2"
)

const (
	// clients is how many clients send a long request at the same time: of the 92 in the site file. bodyBytes is just below
	// maxBodyBytes of the configuration.
	clients   = 54
	bodyBytes = 4_194_304 - 304
	// stableWindow is stableWindowMs.
	stableWindow = 4 * time.Second
	rounds       = 3
	// linkMbps is the bandwidth of a node's link. All long requests of a round cross one link in 1.8 s.
	linkMbps = 1000
	// Short requests come all the while, some 43 a second, as many as the site's clients send to this service.
	shortSenders, shortPause = 16, 220 * time.Millisecond
	// allowedLost is how many requests of kept connections may be lost.
	allowedLost = 3
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
		e, err := fleet2.NewEngine(fmt.Sprintf("i-%08x", i+1), "orders", zone, 0, 30) // 6 slots, and 24 that wait
		if err != nil {
			f.Logf("no engine: %v", err)
			return fleet2.NotRun
		}
		defer e.Close()
		e.FirstEvent = 150 * time.Millisecond
		go e.Beat(f.Store)
		engines = append(engines, e)
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
	left := f.Nodes
	if fleet2.Trouble() {
		for _, n := range f.Nodes[1:] {
			n.Kill()
			f.Logf("%s is lost for good", n.Name)
		}
		left = f.Nodes[:1]
		time.Sleep(stableWindow + time.Second)
	}
	ended := watchMemory(f, left)
	s := newSender(f, left)
	stop := s.sendShort()
	for range rounds {
		s.round()
		time.Sleep(6 * time.Second) // the platform starts an ended process again, and it gets ready
	}
	stop()
	return s.judge(engines, ended.Load())
}

// watchMemory kills a process whose memory exceeds the limit, and starts it again, as the platform does.
func watchMemory(f *fleet2.Fleet, nodes []*fleet2.Node) *atomic.Int64 {
	var ended atomic.Int64
	for _, n := range nodes {
		go func() {
			most := int64(0)
			for {
				time.Sleep(2 * time.Millisecond)
				memory := n.Memory()
				if memory > most+(20<<20) {
					most = memory
					f.Logf("%s holds %d MB", n.Name, most>>20)
				}
				if memory <= fleet2.MemoryMB<<20 {
					continue
				}
				n.Kill()
				ended.Add(1)
				f.Logf("%s held %d MB, more than its limit of %d MB: ended", n.Name, memory>>20, fleet2.MemoryMB)
				time.Sleep(500 * time.Millisecond)
				if err := n.Start(); err != nil {
					f.Logf("not started again: %v", err)
					return
				}
				most = 0
			}
		}()
	}
	return &ended
}

// sender sends the clients' requests and keeps the IDs of those that ended without an answer.
type sender struct {
	f *fleet2.Fleet
	// nodes are those that the registry names, links their links.
	nodes []*fleet2.Node
	links []*fleet2.Link
	body  string

	mu         sync.Mutex
	unanswered map[string]bool
	statuses   map[int]int
}

func newSender(f *fleet2.Fleet, nodes []*fleet2.Node) *sender {
	s := &sender{f: f, nodes: nodes, body: strings.Repeat("x", bodyBytes), statuses: make(map[int]int), unanswered: make(map[string]bool)}
	for range nodes {
		s.links = append(s.links, fleet2.NewLink(linkMbps))
	}
	return s
}

// client returns a client, and the node that it sends to.
func (s *sender) client(number int) (*fleet2.Client, *fleet2.Node) {
	at := number % len(s.nodes)
	return fleet2.NewClientOver(s.links[at]), s.nodes[at]
}

// sendShort has clients send short requests, each on a connection that it keeps, until the returned function is called.
func (s *sender) sendShort() (stop func()) {
	ended := make(chan struct{})
	var all sync.WaitGroup
	for i := range shortSenders {
		client, node := s.client(i)
		all.Go(func() {
			time.Sleep(time.Duration(i) * shortPause / shortSenders) // not all at the same time
			for {
				select {
				case <-ended:
					return
				case <-time.After(shortPause):
					s.send(client, node, "")
				}
			}
		})
	}
	return func() {
		close(ended)
		all.Wait()
	}
}

// round has each client send a short request and then, on the connection that it keeps, a long one, all at the same time.
func (s *sender) round() {
	var all, ready sync.WaitGroup
	ready.Add(clients)
	for i := range clients {
		client, node := s.client(i)
		all.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			s.send(client, node, "")
			ready.Done()
			ready.Wait()
			s.send(client, node, s.body)
		})
	}
	all.Wait()
}

func (s *sender) send(client *fleet2.Client, n *fleet2.Node, body string) {
	r := fleet2.Request{ID: fleet2.NewID(), Path: "/file/a", Key: "k-small", Body: body, Deadline: 4 * time.Second}
	a := client.Send(n.Frontend, r)
	s.f.Logf("sent %s with a body of %d bytes to %s: answered %d %q %v", r.ID, len(body), n.Name, a.Status, a.Body, a.Err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[a.Status]++
	if a.Status == 0 {
		s.unanswered[r.ID] = true
	}
}

// judge counts the requests that an engine ran and whose connection ended without an answer.
func (s *sender) judge(engines []*fleet2.Engine, ended int64) int {
	lost, ran := 0, 0
	for _, e := range engines {
		for _, run := range e.Runs() {
			ran++
			s.f.Logf("ran %s at %s, %s", run.ID, run.Engine, run.Ended)
			if s.unanswered[run.ID] {
				lost++
			}
		}
	}
	summary := fmt.Sprintf("LOST: %d processes ended over their memory limit; %d of %d requests that engines ran ended without an answer, and %d more; answers by status: %v",
		ended, lost, ran, len(s.unanswered)-lost, s.statuses)
	s.f.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case ended > 0 && lost > allowedLost:
		return fleet2.Broken
	case s.statuses[200] == 0:
		return fleet2.NotRun
	}
	return fleet2.Held
}
