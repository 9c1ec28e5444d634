package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["oddkey"] = playOddKey }

// Figures of the case: each node has callers that file one work order after the other on kept connections.
const (
	callersPerNode = 6
	calmTime       = 8 * time.Second
	oddInterval    = 3 * time.Second
	oddRounds      = 3
)

// playOddKey has another writer leave an entry under a key of 255 bytes, the longest that the format of keyed topics allows, among
// the engines' entries. It names no engine to use. Nodes should go on; they are judged by the work orders that an engine ran and
// whose kept connection then ended without an answer, while no process was stopped.
func playOddKey(r *rig) (bool, error) {
	r.configure(100_000_000)
	for i, zone := range []string{"casco", "buzzards", "penobscot"} {
		if _, err := r.addEngine(engineOptions{id: "i-7f3a91c" + string(rune('0'+i)), service: plainService, zone: zone, slots: 6, queue: 24, keepAlive: 5 * time.Second,
			work: func() time.Duration { return time.Duration(20+rand.IntN(200)) * time.Millisecond }}); err != nil {
			return false, err
		}
	}
	if err := r.addNodes("casco", "buzzards", "penobscot"); err != nil {
		return false, err
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	seen := &outcomes{}
	end := time.Now().Add(calmTime + oddRounds*oddInterval + 2*time.Second)
	var callers sync.WaitGroup
	for _, n := range r.nodes {
		for range callersPerNode {
			callers.Go(func() {
				c := newClient(r.log)
				for time.Now().Before(end) {
					o := c.do(n, call{method: "POST", path: "/puxa403/2f", body: "repair the bridle", key: tenantKey, deadline: 4 * time.Second})
					seen.add(o)
					if o.Status != 200 {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
	}
	time.Sleep(calmTime)
	key := "other-" + strings.Repeat("w", 255-len("other-"))
	for range oddRounds {
		if r.trouble {
			r.store.put(wire.ServerTopic, key, []byte("of another writer"))
			r.log.line("another writer writes an entry under a key of %d bytes", len(key))
		}
		time.Sleep(oddInterval)
	}
	callers.Wait()
	ran := make(map[string]bool)
	for _, e := range r.engines {
		for _, x := range e.allRuns() {
			ran[x.ID] = true
		}
	}
	lost, served := 0, 0
	for i := range seen.all {
		o := &seen.all[i]
		switch {
		case o.Status == 200 && o.answered():
			served++
		case !o.answered() && o.Kept && ran[o.ID] && o.Ended.Sub(o.Sent) < 3*time.Second:
			lost++
			r.log.line("lost: %s ran, and its kept connection to %s ended without an answer: %s", o.ID, o.Node, o.Err)
		}
	}
	ends := 0
	for _, n := range r.nodes {
		ends += n.ownEnds()
	}
	r.log.line("%d work orders were answered; %d ran and lost their answer with a kept connection (at most 3 may); processes ended by themselves %d times", served, lost, ends)
	return lost > 3, nil
}
