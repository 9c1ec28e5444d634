package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lavenderpin.dev/lavenderpin/internal/enginemodel"
)

const (
	documentsPerAccount = 4
	leastBlocks         = 24
	mostBlocks          = 40
	leastTail           = 50
	mostTail            = 600
	meanAnswer          = 100
	answerSpread        = 0.6
	leastAnswer         = 8
	mostAnswer          = 512
	// firstTokenDeadline is what callers ask for.
	firstTokenDeadline = 2500 * time.Millisecond
	// wholeDeadline bounds the whole answer.
	wholeDeadline = 30 * time.Second
)

// bulkPriority is that of an account whose work isn't urgent.
const bulkPriority = -5

// account is a client account of the model: ten of them, three large, in four teams.
type account struct {
	name  string
	team  string
	share float64
}

func accounts() []account {
	list := []account{
		{"large-a", "team-a", 0.30}, {"large-b", "team-b", 0.20}, {"large-c", "team-c", 0.15},
	}
	for i := range 7 {
		list = append(list, account{fmt.Sprintf("small-%d", i), fmt.Sprintf("team-%c", 'a'+i%4), 0.05})
	}
	return list
}

// call is one request of the workload.
type call struct {
	id      int
	account account
	region  string
	at      time.Duration
	prefix  []uint64
	prompt  int
	answer  int
	// priority of the account; higher goes first.
	priority int
}

// workload draws arrivals: a Poisson process whose rate the scenario sets. Each
// account has a few documents that its prompts begin with, the first ones more often,
// and a tail of its own.
type workload struct {
	random   *rand.Rand
	scenario Scenario
	accounts []account
	rate     float64
	next     int
	at       float64
}

func newWorkload(scenario Scenario, rate float64) *workload {
	return &workload{random: rand.New(rand.NewPCG(scenario.Seed, 3)), scenario: scenario, accounts: accounts(), rate: rate}
}

// draw returns the next arrival.
func (w *workload) draw() call {
	extra := w.scenario.Crowd.extra(w.at)
	w.at += w.random.ExpFloat64() / (w.rate * (1 + extra))
	w.next++
	c := call{id: w.next, at: time.Duration(w.at * float64(time.Second)), region: far, answer: w.answerLength()}
	c.account = w.pickAccount()
	if w.random.Float64() < extra/(1+extra) {
		c.account = w.accounts[0]
	}
	if w.random.Float64() < w.scenario.nearShare() {
		c.region = near
	}
	c.prefix, c.prompt = w.promptOf(c.account)
	if w.scenario.BulkAccount != "" && c.account.name == w.scenario.BulkAccount {
		c.priority = bulkPriority
	}
	return c
}

func (w *workload) pickAccount() account {
	roll := w.random.Float64()
	for _, a := range w.accounts {
		if roll -= a.share; roll < 0 {
			return a
		}
	}
	return w.accounts[len(w.accounts)-1]
}

func (w *workload) answerLength() int {
	length := meanAnswer * math.Exp(answerSpread*w.random.NormFloat64()-answerSpread*answerSpread/2)
	return min(max(int(length), leastAnswer), mostAnswer)
}

func (w *workload) promptOf(a account) (prefix []uint64, tokens int) {
	document := min(int(w.random.ExpFloat64()*1.2), documentsPerAccount-1)
	seed := rand.New(rand.NewPCG(nameSeed(a.name), uint64(document)))
	blocks := leastBlocks + seed.IntN(mostBlocks-leastBlocks+1)
	for range blocks {
		prefix = append(prefix, seed.Uint64()|1)
	}
	tail := leastTail + w.random.IntN(mostTail-leastTail+1)
	blockTokens := enginemodel.DefaultParams().BlockTokens
	for range tail / blockTokens {
		prefix = append(prefix, w.random.Uint64()|1)
	}
	return prefix, blocks*blockTokens + tail
}

func nameSeed(name string) uint64 {
	seed := uint64(14695981039346656037)
	for _, b := range []byte(name) {
		seed = (seed ^ uint64(b)) * 1099511628211
	}
	return seed
}
