package request

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/budget"
)

// The model of TestTokenBoundCost: prompts of 1.5 to 12 kB for the most part, 3.3 to 4.8
// bytes a token, answers of 100 tokens in the mean with a limit of 512.
const (
	drainBudgets  = 200
	drainPrepaid  = 300_000
	drainRate     = 2.0 // requests a second
	drainSeconds  = 5.0 // of a request
	drainRefusals = 40  // in a row, after which a budget counts as spent
	drainLimit    = 512
)

// drained is what became of the requests of budgets that are used up.
type drained struct{ requests, refused, falseRefusals, firstLeft, unspent, overspent int }

// drainRun is a request that runs.
type drainRun struct {
	end         float64
	used        uint64
	worst       uint64
	reservation *budget.Reservation
}

type drainRuns []drainRun

func (r drainRuns) Len() int           { return len(r) }
func (r drainRuns) Less(i, j int) bool { return r[i].end < r[j].end }
func (r drainRuns) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *drainRuns) Push(x any)        { *r = append(*r, x.(drainRun)) }
func (r *drainRuns) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// drain uses one budget up. A refusal is false if the request would have fitted with
// every prompt's true count known beforehand.
func drain(seed uint64, limits tokenLimits, two bool, total *drained) {
	random := rand.New(rand.NewPCG(seed, 1))
	clock := clockwork.NewFakeClock()
	holder := budget.NewShareHolder("a", clock)
	holder.ExtendRight(clock.Now().Add(time.Hour))
	holder.Credit("budget", drainPrepaid)
	var running drainRuns
	used, open, now, first := uint64(0), uint64(0), 0.0, true
	finish := func() {
		run := heap.Pop(&running).(drainRun)
		run.reservation.Finish(run.used)
		used, open = used+run.used, open-run.worst
	}
	for refused := 0; refused < drainRefusals; {
		now += random.ExpFloat64() / drainRate
		for len(running) > 0 && running[0].end <= now {
			finish()
		}
		bytes := min(int(4000*math.Exp(0.7*random.NormFloat64())), 24000)
		tokens := uint64(float64(bytes)/(3.3+1.5*random.Float64())) + tokensPerMessage
		answer := uint64(min(drainLimit, 100*math.Exp(0.6*random.NormFloat64())))
		body, _ := parseChat([]byte(`{"model":"m","messages":[{"content":"` + strings.Repeat("x", bytes) + `"}]}`))
		bound := body.tokenBound(limits, drainLimit)
		total.requests++
		var reservation *budget.Reservation
		err := fmt.Errorf("not tried")
		if two {
			reservation, err = holder.Reserve("budget", bound.sound)
		}
		if err != nil {
			reservation, err = holder.Reserve("budget", bound.declared)
		}
		worst := tokens + drainLimit
		if err != nil {
			refused++
			total.refused++
			if used+open+worst <= drainPrepaid {
				total.falseRefusals++
			}
			if first {
				total.firstLeft += int(drainPrepaid - used)
				first = false
			}
			continue
		}
		refused = 0
		open += worst
		heap.Push(&running, drainRun{now + drainSeconds*random.ExpFloat64(), tokens + answer, worst, reservation})
	}
	for len(running) > 0 {
		finish()
	}
	total.unspent += int(drainPrepaid - min(used, drainPrepaid))
	total.overspent += int(used - min(used, drainPrepaid))
}

// LAVENDERPIN_MEASURE=1 prints how many requests each bound refuses near a budget's end
// that would have fitted. Model time; the seeds fix every figure.
func TestTokenBoundCost(t *testing.T) {
	if os.Getenv("LAVENDERPIN_MEASURE") == "" {
		return
	}
	for _, way := range []struct {
		name   string
		limits tokenLimits
		two    bool
	}{
		{"bytes", tokenLimits{}, false},
		{"context of 8192", tokenLimits{context: 8192}, true},
		{"410 tokens per KiB, always", tokenLimits{perKiB: 410}, false},
		{"410 tokens per KiB, when bytes don't fit", tokenLimits{perKiB: 410}, true},
		{"both, always", tokenLimits{perKiB: 410, context: 8192}, false},
		{"both, when bytes don't fit", tokenLimits{perKiB: 410, context: 8192}, true},
		{"320 tokens per KiB, when bytes don't fit", tokenLimits{perKiB: 320}, true},
	} {
		var d drained
		for seed := range uint64(drainBudgets) {
			drain(seed, way.limits, way.two, &d)
		}
		fmt.Printf("| %s | %d | %d | %d | %.2f%% | %.2f%% | %.2f%% | %d |\n", way.name, d.requests, d.refused, d.falseRefusals,
			100*float64(d.falseRefusals)/float64(d.requests), 100*float64(d.firstLeft)/(drainBudgets*drainPrepaid),
			100*float64(d.unspent)/(drainBudgets*drainPrepaid), d.overspent)
	}
}
