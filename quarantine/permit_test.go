package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/bubble"
)

// permitFleet is guards that ask each other.
type permitFleet struct {
	*testNodes
	guards map[string]*Guard
}

func inPermitFleet(t *testing.T, count int, test func(is *is.I, f *permitFleet)) {
	bubble.Test(t, func(t *testing.T) {
		f := &permitFleet{testNodes: newTestNodes(count, 3), guards: make(map[string]*Guard)}
		for _, p := range f.peers {
			s := f.spreader[p.Node]
			s.Transport = &guardTransport{testTransport{f.testNodes, p}, f.guards, func(string) bool { return false }}
			f.guards[p.Node] = newTestGuard(bubbleClock{}, s)
			f.guards[p.Node].Asker = s
		}
		test(is.New(t), f)
		time.Sleep(15 * time.Second)
		for _, s := range f.spreader {
			s.Stop()
		}
	})
}

// crash has an upstream of its own crash under a request at a node.
func (f *permitFleet) crash(node int, request ID) {
	g := f.guards[fmt.Sprint("n", node)]
	g.UpstreamCrashed(Attempt{Request: request, Incarnation: randomID(), Opened: true, SentAt: g.Now()})
}

// sends are the sends of a request and the crashes under it.
type sends struct {
	mu      sync.Mutex
	crashes []time.Time
	late    int
}

// try sends a request under which each upstream crashes, as often as it may be sent.
func (f *permitFleet) try(node int, request ID, took func() time.Duration, all *sends) {
	g := f.guards[fmt.Sprint("n", node)]
	permit := g.NewPermit("a", request)
	for range 4 {
		if permit.Await(context.Background()) != NotDenied {
			return
		}
		if !permit.Begin() {
			continue
		}
		all.mu.Lock()
		if len(all.crashes) >= MaxRequestCrashes {
			all.late++
		}
		all.mu.Unlock()
		sentAt := g.Now()
		time.Sleep(took())
		all.mu.Lock()
		all.crashes = append(all.crashes, time.Now())
		all.mu.Unlock()
		g.UpstreamCrashed(Attempt{Request: request, Incarnation: randomID(), Opened: true, SentAt: sentAt})
		permit.End()
	}
}

// Guards against sends that begin after the third crash since several nodes send again at once. The first sends of nodes that haven't
// heard of a crash begin before the third one here.
func TestNoSendBeginsAfterThirdCrash(t *testing.T) {
	for _, count := range []int{3, 7, 86, 295} {
		for copies := 1; copies <= 6; copies++ {
			t.Run(fmt.Sprint(count, "/", copies), func(t *testing.T) {
				inPermitFleet(t, count, func(is *is.I, f *permitFleet) {
					r := rand.New(rand.NewPCG(uint64(count), uint64(copies)))
					for request := range ID(max(2, 40/count)) {
						all := &sends{}
						var group sync.WaitGroup
						for range copies {
							node, start := r.IntN(count), time.Duration(r.Int64N(int64(15*time.Millisecond)))
							took := []time.Duration{20*time.Millisecond + time.Duration(r.Int64N(int64(200*time.Millisecond)))}
							group.Go(func() {
								time.Sleep(start)
								f.try(node, request+1, func() time.Duration { return took[0] }, all)
							})
						}
						group.Wait()
						is.Equal(all.late, 0)
						is.True(len(all.crashes) <= max(MaxRequestCrashes, copies))
					}
				})
			})
		}
	}
}

// Guards against a second send of a sound request that waits longer than the other nodes take to answer, with all of them in touch, one
// frozen, and a region cut off.
func TestSecondSendWaitsForOthersOnly(t *testing.T) {
	silent := map[string]func(node int) bool{
		"in touch": func(int) bool { return false },
		"frozen":   func(node int) bool { return node == 4 },
		"cut off":  func(node int) bool { return node%3 == 2 },
	}
	for _, count := range []int{7, 86, 295} {
		for name, isSilent := range silent {
			t.Run(fmt.Sprint(count, " ", name), func(t *testing.T) {
				inPermitFleet(t, count, func(is *is.I, f *permitFleet) {
					f.mu.Lock()
					for i := range count {
						f.silent[fmt.Sprint("n", i)] = isSilent(i)
					}
					f.mu.Unlock()
					var waits []time.Duration
					const permits = 30
					messages := 0
					for request := range ID(permits) {
						node := int(request) % min(count, 10)
						if isSilent(node) {
							continue
						}
						f.crash(node, request+1)
						time.Sleep(50 * time.Millisecond) // the news is on its way
						f.mu.Lock()
						before := f.messages
						f.mu.Unlock()
						began := time.Now()
						permit := f.guards[fmt.Sprint("n", node)].NewPermit("a", request+1)
						is.Equal(permit.Await(context.Background()), NotDenied)
						is.True(permit.Begin())
						waits = append(waits, time.Since(began))
						f.mu.Lock()
						messages += f.messages - before
						f.mu.Unlock()
						permit.End()
						time.Sleep(5 * time.Second)
					}
					slices.Sort(waits)
					t.Logf("%d nodes, %s: a second send waits %v, 99th %v, most %v; %d messages with answers", count, name, waits[len(waits)/2], waits[len(waits)*99/100], waits[len(waits)-1], messages/len(waits))
					is.True(waits[len(waits)-1] <= gatherTime+sendTimeout)
					is.True(waits[len(waits)/2] <= 200*time.Millisecond || name != "in touch")
				})
			})
		}
	}
}

// Guards against an answer told late that drops crashes which came after it.
func TestAnswerDropsOnlyEarlierCrashes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGuard(bubbleClock{}, nil)
		crash := func() { g.UpstreamCrashed(Attempt{Request: 1, Incarnation: randomID(), SentAt: g.Now()}) }
		crash()
		time.Sleep(time.Second)
		for range MaxRequestCrashes {
			crash()
		}
		g.Learn(News{Node: "n2", Answered: []ID{1}, AnsweredAgoMs: []int64{500}})
		is.True(!g.MaySend(1))
		time.Sleep(time.Second)
		g.Learn(News{Node: "n2", Answered: []ID{1}})
		is.True(g.MaySend(1))
	})
}

// Guards against refusing for good a request that one node knows to have been answered since.
func TestRefusalIsAgreedOnByAllNodes(t *testing.T) {
	inPermitFleet(t, 7, func(is *is.I, f *permitFleet) {
		for node := range MaxRequestCrashes {
			f.crash(node, 1)
		}
		time.Sleep(time.Second)
		f.guards["n6"].requests.answer(1, f.guards["n6"].Now(), true) // its news is under way
		permit := f.guards["n0"].NewPermit("a", 1)
		is.Equal(permit.Await(context.Background()), NotDenied)
		is.True(permit.Begin())
		permit.End()
	})
}

// Guards against waiting for a copy of the request at another node longer than it takes.
func TestRequestIsSentOnceItsCopyWasAnswered(t *testing.T) {
	inPermitFleet(t, 7, func(is *is.I, f *permitFleet) {
		copies := []*Permit{f.guards["n1"].NewPermit("a", 1), f.guards["n2"].NewPermit("a", 1)}
		for _, c := range copies {
			is.True(c.Begin())
		}
		f.crash(0, 1)
		began := time.Now()
		time.AfterFunc(500*time.Millisecond, func() {
			f.guards["n1"].Answered(1)
			copies[0].End()
		})
		permit := f.guards["n0"].NewPermit("a", 1)
		is.Equal(permit.Await(context.Background()), NotDenied)
		is.True(time.Since(began) >= 500*time.Millisecond && time.Since(began) < 1500*time.Millisecond)
	})
}
