package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["twoversions"] = playTwoVersions }

// Figures of the case.
const (
	streamLength  = 100
	streamPause   = 50 * time.Millisecond
	streamsBegun  = 18
	beginInterval = 100 * time.Millisecond
	downFor       = 500 * time.Millisecond
	cutFor        = 5 * time.Second
)

// playTwoVersions cuts one of six engines from the store, behind which it crashes and starts again as a newer version, and kills a
// node at which streams began meanwhile. Clients take these streams up at the other nodes. No stream should be joined from
// two versions.
func playTwoVersions(r *rig) (bool, error) {
	r.configure(1_000_000_000)
	zones := []string{"casco", "buzzards", "penobscot"}
	for i := range 6 {
		if _, err := r.addEngine(engineOptions{id: fmt.Sprint("i-5e3a91c", i), service: llmService, zone: zones[i%len(zones)], slots: 32, queue: 67, keepAlive: 5 * time.Second, events: streamLength, pause: streamPause}); err != nil {
			return false, err
		}
	}
	if err := r.addNodes("casco", "buzzards", "penobscot", "casco", "buzzards"); err != nil {
		return false, err
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second) // all machines are in touch
	e, first := r.engines[0], r.nodes[0]
	if r.trouble {
		e.setCut(true)
	}
	e.setVersion("v2")
	e.crash()
	time.Sleep(downFor)
	if err := e.start(time.Now()); err != nil {
		return false, err
	}
	if !r.trouble {
		time.Sleep(time.Second) // its entry is read
	}
	var mu sync.Mutex
	mixed, resumed, whole := 0, 0, 0
	var clients sync.WaitGroup
	for i := range streamsBegun {
		clients.Go(func() {
			request := call{method: "POST", path: "/lohu930/2f", body: "draft the report", key: tenantKey, deadline: 15 * time.Second, model: "m", tokens: "1460,600",
				prefix: fmt.Sprintf("5c1e07a2:60,%x:1400", rand.Int64())}
			begun := newClient(r.log).do(first, request)
			events := begun.Events
			for attempt := range 3 {
				if len(events) == 0 || len(events) >= streamLength {
					break
				}
				request.after, request.resumes = len(events), begun.ID
				request.deadline = 15*time.Second - time.Since(begun.Sent)
				o := newClient(r.log).do(r.nodes[1+(i+attempt)%4], request)
				events = append(events, o.Events...)
				time.Sleep(500 * time.Millisecond)
			}
			versions := make(map[string]bool)
			for _, event := range events {
				_, data, _ := strings.Cut(event, "data: ")
				version, _, _ := strings.Cut(data, " ")
				versions[version] = true
			}
			mu.Lock()
			defer mu.Unlock()
			if len(events) > len(begun.Events) {
				resumed++
			}
			if len(events) == streamLength {
				whole++
			}
			if len(versions) > 1 {
				mixed++
				r.log.line("mixed: the stream that %s began holds events of %d versions; %d came from its first node, %d in all", begun.ID, len(versions), len(begun.Events), len(events))
			}
		})
		time.Sleep(beginInterval)
	}
	time.Sleep(500 * time.Millisecond)
	first.signal(syscall.SIGKILL)
	time.Sleep(cutFor - downFor - streamsBegun*beginInterval)
	if r.trouble {
		e.setCut(false)
	}
	clients.Wait()
	r.log.line("%d streams, %d went on at another node, %d whole; %d hold events of two versions", streamsBegun, resumed, whole, mixed)
	return mixed > 0, nil
}
