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
	minBlocks           = 24
	maxBlocks           = 40
	minTailTokens       = 50
	maxTailTokens       = 600
	meanAnswerTokens    = 100
	answerLogSigma      = 0.6
	minAnswerTokens     = 8
	maxAnswerTokens     = 512
	// firstTokenDeadline is the deadline that callers set for the first token.
	firstTokenDeadline = 2500 * time.Millisecond
	// answerDeadline is the deadline for the complete answer.
	answerDeadline = 30 * time.Second
)

// bulkPriority is the priority of an account with non-urgent work.
const bulkPriority = -5

// account is a simulated client account: one of ten, three of them large, in four teams.
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
	// priority is that of the account; higher goes first.
	priority int
}

// workload generates arrivals as a Poisson process. During a crowd, its rate rises as the
// scenario says. Each prompt begins with one of the account's few documents, earlier ones
// more often, followed by a unique tail.
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
	c := call{id: w.next, at: time.Duration(w.at * float64(time.Second)), region: far, answer: w.answerTokens()}
	c.account = w.drawAccount()
	if w.random.Float64() < extra/(1+extra) {
		c.account = w.accounts[0]
	}
	if w.random.Float64() < w.scenario.nearShare() {
		c.region = near
	}
	c.prefix, c.prompt = w.drawPrompt(c.account)
	if w.scenario.BulkAccount != "" && c.account.name == w.scenario.BulkAccount {
		c.priority = bulkPriority
	}
	return c
}

func (w *workload) drawAccount() account {
	roll := w.random.Float64()
	for _, a := range w.accounts {
		if roll -= a.share; roll < 0 {
			return a
		}
	}
	return w.accounts[len(w.accounts)-1]
}

func (w *workload) answerTokens() int {
	length := meanAnswerTokens * math.Exp(answerLogSigma*w.random.NormFloat64()-answerLogSigma*answerLogSigma/2)
	return min(max(int(length), minAnswerTokens), maxAnswerTokens)
}

func (w *workload) drawPrompt(a account) (prefix []uint64, tokens int) {
	document := min(int(w.random.ExpFloat64()*1.2), documentsPerAccount-1)
	seed := rand.New(rand.NewPCG(nameSeed(a.name), uint64(document)))
	blocks := minBlocks + seed.IntN(maxBlocks-minBlocks+1)
	for range blocks {
		prefix = append(prefix, seed.Uint64()|1)
	}
	tail := minTailTokens + w.random.IntN(maxTailTokens-minTailTokens+1)
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
