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

// The workload of TestTokenBoundCost: mostly prompts of 1.5 to 12 kB with 3.3 to 4.8 bytes a
// token, and answers of 100 tokens on average with a limit of 512.
const (
	simBudgets      = 200
	simPrepaid      = 300_000
	simRequestRate  = 2.0 // requests a second
	simMeanDuration = 5.0 // seconds a request runs
	simMaxRefusals  = 40  // in a row, after which a budget counts as spent
	simAnswerLimit  = 512
)

// budgetTotals sums up the requests of all simulated budgets.
type budgetTotals struct{ requests, refused, falseRefusals, firstLeft, unspent, overspent int }

// simRequest is a running request.
type simRequest struct {
	end         float64
	used        uint64
	worst       uint64
	reservation *budget.Reservation
}

type simHeap []simRequest

func (r simHeap) Len() int           { return len(r) }
func (r simHeap) Less(i, j int) bool { return r[i].end < r[j].end }
func (r simHeap) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *simHeap) Push(x any)        { *r = append(*r, x.(simRequest)) }
func (r *simHeap) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// simulateBudget spends one budget. A refusal is false if the request would have fitted with
// the true token count of every prompt known in advance.
func simulateBudget(seed uint64, limits tokenLimits, two bool, total *budgetTotals) {
	random := rand.New(rand.NewPCG(seed, 1))
	clock := clockwork.NewFakeClock()
	holder := budget.NewShareHolder("a", clock)
	holder.ExtendRight(clock.Now().Add(time.Hour))
	holder.Credit("budget", simPrepaid)
	var running simHeap
	used, open, now, first := uint64(0), uint64(0), 0.0, true
	finish := func() {
		run := heap.Pop(&running).(simRequest)
		run.reservation.Finish(run.used)
		used, open = used+run.used, open-run.worst
	}
	for refused := 0; refused < simMaxRefusals; {
		now += random.ExpFloat64() / simRequestRate
		for len(running) > 0 && running[0].end <= now {
			finish()
		}
		bytes := min(int(4000*math.Exp(0.7*random.NormFloat64())), 24000)
		tokens := uint64(float64(bytes)/(3.3+1.5*random.Float64())) + tokensPerMessage
		answer := uint64(min(simAnswerLimit, 100*math.Exp(0.6*random.NormFloat64())))
		body, _ := parseChat([]byte(`{"model":"m","messages":[{"content":"` + strings.Repeat("x", bytes) + `"}]}`))
		bound := body.tokenBound(limits, simAnswerLimit)
		total.requests++
		var reservation *budget.Reservation
		err := fmt.Errorf("not tried")
		if two {
			reservation, err = holder.Reserve("budget", bound.conservative)
		}
		if err != nil {
			reservation, err = holder.Reserve("budget", bound.declared)
		}
		worst := tokens + simAnswerLimit
		if err != nil {
			refused++
			total.refused++
			if used+open+worst <= simPrepaid {
				total.falseRefusals++
			}
			if first {
				total.firstLeft += int(simPrepaid - used)
				first = false
			}
			continue
		}
		refused = 0
		open += worst
		heap.Push(&running, simRequest{now + simMeanDuration*random.ExpFloat64(), tokens + answer, worst, reservation})
	}
	for len(running) > 0 {
		finish()
	}
	total.unspent += int(simPrepaid - min(used, simPrepaid))
	total.overspent += int(used - min(used, simPrepaid))
}

// LAVENDERPIN_MEASURE=1 prints how many requests that would have fitted each bound refuses
// near the end of a budget. It runs on simulated time; the seeds fix all results.
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
		var d budgetTotals
		for seed := range uint64(simBudgets) {
			simulateBudget(seed, way.limits, way.two, &d)
		}
		fmt.Printf("| %s | %d | %d | %d | %.2f%% | %.2f%% | %.2f%% | %d |\n", way.name, d.requests, d.refused, d.falseRefusals,
			100*float64(d.falseRefusals)/float64(d.requests), 100*float64(d.firstLeft)/(simBudgets*simPrepaid),
			100*float64(d.unspent)/(simBudgets*simPrepaid), d.overspent)
	}
}
