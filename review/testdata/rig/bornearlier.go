package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["bornearlier"] = playBornEarlier }

// Figures of the case. The clock of the engine's machine is ahead by clockLead when the engine starts, and has jumped back
// when it starts again after a crash.
const (
	clockLead   = 2400 * time.Millisecond
	upTime      = 600 * time.Millisecond
	downTime    = 1000 * time.Millisecond
	drainTime   = 3 * time.Second
	longerTime  = 4 * time.Second
	settledTime = 8 * time.Second
	// otherEngines are undisturbed: one of seven crashes and leaves, 0.143 of them.
	otherEngines = 6
)

// playBornEarlier starts an engine whose machine has a clock that is ahead, lets it crash and start again under its ID once the clock
// has jumped back, and has it report draining some seconds later. Nodes should then send it nothing once drainMs has passed.
func playBornEarlier(r *rig) (bool, error) {
	r.configure(100_000_000)
	work := func() time.Duration { return time.Duration(20+rand.IntN(40)) * time.Millisecond }
	options := func(id, zone string) engineOptions {
		return engineOptions{id: id, service: plainService, zone: zone, slots: 6, queue: 24, keepAlive: 5 * time.Second, work: work}
	}
	zones := []string{"casco", "buzzards", "penobscot"}
	for i := range otherEngines {
		if _, err := r.addEngine(options(fmt.Sprint("i-7f3a91c", i), zones[i%len(zones)])); err != nil {
			return false, err
		}
	}
	if err := r.addNodes(zones...); err != nil {
		return false, err
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, n := range r.nodes {
		for range 5 {
			callers.Go(func() {
				c := newClient(r.log)
				for {
					select {
					case <-stop:
						return
					default:
					}
					o := c.do(n, call{method: "POST", path: "/puxa403/2f", body: "repair the bridle", key: tenantKey, deadline: 4 * time.Second})
					if o.Status != 200 {
						time.Sleep(100 * time.Millisecond)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(settledTime / 2)

	lead := time.Duration(0)
	if r.trouble {
		lead = clockLead
	}
	o := options("i-7f3a91ce", "casco")
	o.ip = r.ip(120)
	e := newEngine(o, r.store, r.log)
	r.engines = append(r.engines, e)
	if err := e.start(time.Now().Add(lead)); err != nil {
		return false, err
	}
	time.Sleep(upTime)
	e.crash()
	time.Sleep(downTime)
	if err := e.start(time.Now()); err != nil { // the clock has jumped back
		return false, err
	}
	time.Sleep(settledTime)
	acknowledged := e.drain()
	time.Sleep(drainTime + longerTime)
	e.exit()
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()

	late, before := 0, 0
	for _, x := range e.allRuns() {
		switch after := x.Begun.Sub(acknowledged); {
		case after < 0:
			before++
		case after > drainTime:
			late++
			r.log.line("late: %s reached %s %.3f s after it was acknowledged as draining", x.ID, e.id, after.Seconds())
		}
	}
	r.log.line("%d requests ran at %s before it left; %d reached it later than drainMs after its leaving was acknowledged", before, e.id, late)
	return late > 0, nil
}
