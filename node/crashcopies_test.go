package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/request"
)

const crashingBody = "crashing"

// sendPlain sends one plain call to a node.
func sendPlain(n *testNode, path, body string) error {
	_, err := n.Requests().Call(context.Background(), request.ServiceCall{Key: streamKey, Service: "orders", Method: "POST", Path: path, Body: []byte(body), Timeout: 10 * time.Second})
	return err
}

// crashTimes returns when engines crashed, in order.
func crashTimes(engines []*crashEngine) []time.Time {
	var times []time.Time
	for _, e := range engines {
		e.mu.Lock()
		times = append(times, e.crashes...)
		e.mu.Unlock()
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// lateSends counts the sends after the third crash. A node that can't have heard of any of the crashes within the time that news takes
// doesn't count for its first send.
func lateSends(engines []*crashEngine, news time.Duration) int {
	crashes := crashTimes(engines)
	if len(crashes) < 3 {
		return 0
	}
	first := make(map[string]time.Time) // by host
	forEachArrival(engines, func(at time.Time, from string) {
		if known, ok := first[from]; !ok || at.Before(known) {
			first[from] = at
		}
	})
	late := 0
	forEachArrival(engines, func(at time.Time, from string) {
		if at.After(crashes[2]) && !(at.Equal(first[from]) && at.Before(crashes[0].Add(news))) {
			late++
		}
	})
	return late
}

func forEachArrival(engines []*crashEngine, do func(at time.Time, from string)) {
	for _, e := range engines {
		e.mu.Lock()
		for i, at := range e.at {
			do(at, e.from[i])
		}
		e.mu.Unlock()
	}
}

// nodePaths are lengths of the paths between nodes beyond the millisecond of one data centre.
var nodePaths = []time.Duration{0, 10 * time.Millisecond, 60 * time.Millisecond}

// Guards against a plain call that its caller repeats being sent to upstream after upstream, each of which crashes.
func TestPlainCallUnderWhichThreeUpstreamsCrashedIsNotSent(t *testing.T) {
	for _, path := range []string{"/lookup", "/orders"} {
		for _, between := range nodePaths {
			t.Run(fmt.Sprint(path, between), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					p := newPathNetwork(t)
					f := p.startFleet(nearRegion, nearRegion, nearRegion, nearRegion)
					engines := p.addCrashEngines(f, 8, crashingBody, 0)
					is.NoErr(sendPlain(f.nodes[0], path, "sound"))
					f.net.setDelay(between)
					for try := range 8 {
						is.True(sendPlain(f.nodes[try%len(f.nodes)], path, crashingBody) != nil)
					}
					crashes := crashTimes(engines)
					is.Equal(len(crashes), 3)
					is.Equal(lateSends(engines, 0), 0)
				})
			})
		}
	}
}

// Guards against copies of a request at several nodes, each of which sends it again by the crashes that it knows of.
func TestCopiesAtOnceAreNotSentAfterThirdCrash(t *testing.T) {
	send := map[string]func(*testNode) error{
		"completion": func(n *testNode) error { return sendChat(n, crashingBody, "") },
		"plain":      func(n *testNode) error { return sendPlain(n, "/lookup", crashingBody) },
	}
	for name, send := range send {
		for _, between := range nodePaths {
			for _, apart := range []time.Duration{0, 2 * time.Millisecond, 17 * time.Millisecond, 70 * time.Millisecond} {
				for copies := 2; copies <= 4; copies++ {
					t.Run(fmt.Sprint(name, between, "/", apart, "/", copies), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							is := is.New(t)
							p := newPathNetwork(t)
							f := p.startFleet(nearRegion, nearRegion, nearRegion, nearRegion)
							engines := p.addCrashEngines(f, 8, crashingBody, 0)
							f.net.setDelay(between)
							for round := range 3 {
								var group sync.WaitGroup
								for i := range copies {
									n := f.nodes[(round+i)%len(f.nodes)]
									group.Go(func() { _ = send(n) })
									time.Sleep(apart)
								}
								group.Wait()
							}
							crashes := crashTimes(engines)
							is.True(len(crashes) <= max(3, copies))
							is.Equal(lateSends(engines, 10*time.Millisecond+between), 0)
						})
					})
				}
			}
		}
	}
}
