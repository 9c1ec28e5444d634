package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
)

// memoryModel replays long prompts on engines with little memory, in virtual time.
type memoryModel struct {
	held, running []int64
	// crashes counts the times that an engine's memory was exceeded, unplaced the requests that fitted nowhere.
	crashes, unplaced, placed int
}

type heldRequest struct {
	u      *directory.Upstream
	engine int
	tokens int64
	ends   time.Duration
}

// play sends requests of 2,000 to 42,000 tokens, each of which runs for half a second to one and a half.
func (m *memoryModel) play(seed uint64, figures int) {
	const engines, nodes, capacity, perTick = 10, 40, 604_131, 2
	rng := rand.New(rand.NewPCG(seed, 2))
	m.held, m.running = make([]int64, engines), make([]int64, engines)
	pickers, views := make([]*Picker, nodes), make([][]*directory.Upstream, nodes)
	for n := range nodes {
		pickers[n] = NewPicker(DefaultSettings(), regions)
		pickers[n].Random = rng.Float64
		for e := range engines {
			u := upstream(fmt.Sprintf("e%02d", e), "a")
			u.Slots = 32
			views[n] = append(views[n], u)
		}
	}
	var open, reports []heldRequest
	for now := time.Hour; now < time.Hour+20*time.Second; now += 10 * time.Millisecond {
		open = slices.DeleteFunc(open, func(q heldRequest) bool {
			if q.ends > now {
				return false
			}
			m.held[q.engine] -= q.tokens
			m.running[q.engine]--
			q.u.InFlight.Add(-1)
			q.u.ReleaseTokens(q.tokens)
			return true
		})
		reports = slices.DeleteFunc(reports, func(q heldRequest) bool {
			if q.ends > now {
				return false
			}
			report := directory.LoadReport{Running: int(m.running[q.engine]), Slots: 32}
			if figures > 3 {
				report.Slowdown = 1
			}
			q.u.ObserveReport(report, now)
			return true
		})
		for range perTick {
			if now < time.Hour+3*time.Second && rng.IntN(10) > 0 { // nodes have reports before the rush
				continue
			}
			n := rng.IntN(nodes)
			r := newRequest("a")
			r.Now, r.Tokens, r.KVCapacity = now, int64(2_000+rng.IntN(40_000)), capacity
			c, ok := pickers[n].Pick(r, views[n])
			if !ok || !c.Upstream.HoldTokens(r.Tokens, c.MaxHeldTokens) {
				m.unplaced++
				continue
			}
			pickers[n].Held("s", r.Tokens)
			c.Upstream.InFlight.Add(1)
			q := heldRequest{u: c.Upstream, engine: slices.Index(views[n], c.Upstream), tokens: r.Tokens, ends: now + 500*time.Millisecond + time.Duration(rng.IntN(1000))*time.Millisecond}
			m.placed++
			m.running[q.engine]++
			if m.held[q.engine] += q.tokens; m.held[q.engine] > capacity {
				m.crashes++
			}
			open = append(open, q)
			q.ends = now + 100*time.Millisecond
			reports = append(reports, q)
		}
	}
}

// Guards against crashing engines by long prompts that many nodes send to them at the same time, and against leaving most of their
// memory unused.
func TestEnginesMemoryIsNotExceeded(t *testing.T) {
	is := is.New(t)
	before, after := &memoryModel{}, &memoryModel{}
	before.play(5, 3)
	after.play(5, 4)
	t.Logf("3 figures: exceeded %d times, %d placed, %d not; 4 figures: %d, %d, %d", before.crashes, before.placed, before.unplaced, after.crashes, after.placed, after.unplaced)
	is.True(before.crashes > 0)
	is.Equal(after.crashes, 0)
}

// Guards against keeping a request that needs the whole memory waiting for good by reports that nobody renews, and against absurd
// sizes.
func TestWholeMemoryIsFreeOnceReportsAreOld(t *testing.T) {
	is := is.New(t)
	p, u := NewPicker(DefaultSettings(), regions), upstream("u", "a")
	u.ObserveReport(directory.LoadReport{Running: 4, Slots: 4, Slowdown: 1}, time.Hour)
	r := newRequest("a")
	r.Tokens, r.KVCapacity = 1_000, 1_000
	_, ok := p.Pick(r, []*directory.Upstream{u})
	is.True(!ok)
	r.Now += time.Minute
	c, ok := p.Pick(r, []*directory.Upstream{u})
	is.True(ok)
	is.Equal(c.MaxHeldTokens, int64(1_000))
	is.True(!p.ExceedsMemory(r, []*directory.Upstream{u}))
	r.Tokens = math.MaxInt64
	is.True(p.ExceedsMemory(r, []*directory.Upstream{u}))
	three := upstream("v", "a")
	three.ObserveLoad(1, 0, time.Hour)
	is.True(!p.ExceedsMemory(r, []*directory.Upstream{three, u})) // the first may hold more
	for range 2 {
		is.True(three.HoldTokens(p.SizeOf(r, "s"), math.MaxInt64))
	}
}
