package fake

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// EngineRun is one completion as the engine executed it.
type EngineRun struct {
	Upstream string
	Request  string
	// Prompt is the prompt's text; the answer is its first MaxTokens words.
	Prompt       string
	Answer       []string
	PromptTokens uint64
	Start        time.Time
	// Produced counts the answer's tokens generated so far.
	Produced  uint64
	Finished  bool
	Cancelled bool
}

// ServiceRun is one execution of a call by a plain service.
type ServiceRun struct {
	Upstream string
	Request  string
	Method   string
	Body     string
	At       time.Time
}

// UpstreamFaults are the faults that all upstreams inject.
type UpstreamFaults struct {
	// Cross makes each engine return the answer to another request.
	Cross bool
	// CutAfter ends each engine's stream after this many tokens; 0 disables it.
	CutAfter int
	// RunTwice injects a defect: each plain call runs twice.
	RunTwice bool
	// SkipOnResume injects a defect: a resumed stream skips this many chunks.
	SkipOnResume uint64
	// IgnoreNotAfter makes upstreams run requests that arrive after their not-after time.
	IgnoreNotAfter bool
	// IgnoreFencing makes engines that check fencing numbers accept any order.
	IgnoreFencing bool
}

// Upstreams simulates the engines and plain services and records what they executed.
// It is safe for concurrent use.
type Upstreams struct {
	clock   clockwork.Clock
	network *Network
	// TokenTime is the interval between two tokens.
	TokenTime time.Duration
	// CallTime is how long a plain call takes.
	CallTime time.Duration

	mu          sync.Mutex
	faults      UpstreamFaults
	runs        []*EngineRun
	runsByKey   map[string]*EngineRun
	serviceRuns []ServiceRun
	orders      []EngineOrder
	engines     map[string]*engineState

	caches      map[string]*engineCache
	cacheFaults CacheFaults
	down        map[string]bool
	outages     []EngineOutage
	attempts    []Attempt
}

// NewUpstreams returns upstreams with the given token interval and call duration.
func NewUpstreams(clock clockwork.Clock, network *Network, tokenTime, callTime time.Duration) *Upstreams {
	return &Upstreams{clock: clock, network: network, TokenTime: tokenTime, CallTime: callTime, runsByKey: map[string]*EngineRun{},
		engines: map[string]*engineState{}, caches: map[string]*engineCache{}, down: map[string]bool{}}
}

// SetFaults replaces the injected faults.
func (u *Upstreams) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

func (u *Upstreams) currentFaults() UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// Runs returns the completions that engines executed.
func (u *Upstreams) Runs() []EngineRun {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make([]EngineRun, 0, len(u.runs))
	for _, run := range u.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Calls returns the calls that plain services executed.
func (u *Upstreams) Calls() []ServiceRun {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]ServiceRun(nil), u.serviceRuns...)
}

// chatBody holds the fields of a chat request that an engine reads.
type chatBody struct {
	MaxTokens int `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (u *Upstreams) newRun(upstream, request string, body []byte) *EngineRun {
	var parsed chatBody
	_ = json.Unmarshal(body, &parsed)
	var words, messages []string
	for _, m := range parsed.Messages {
		words = append(words, strings.Fields(m.Content)...)
		messages = append(messages, m.Content)
	}
	run := &EngineRun{Upstream: upstream, Request: request, Prompt: strings.Join(words, " "),
		Answer: words, PromptTokens: uint64(len(words)), Start: u.clock.Now()}
	if parsed.MaxTokens > 0 && len(words) > parsed.MaxTokens {
		run.Answer = words[:parsed.MaxTokens]
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, run)
	u.runsByKey[upstream+"/"+request] = run
	u.prefill(upstream, messages)
	return run
}

// recordToken counts a generated token unless the run was cancelled.
func (u *Upstreams) recordToken(run *EngineRun) (running bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if run.Cancelled {
		return false
	}
	run.Produced++
	return true
}

func (u *Upstreams) finish(run *EngineRun) {
	u.mu.Lock()
	defer u.mu.Unlock()
	run.Finished = true
}

func (u *Upstreams) cancel(upstream, request string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if run := u.runsByKey[upstream+"/"+request]; run != nil && !run.Finished {
		run.Cancelled = true
	}
}

func (u *Upstreams) recordServiceRun(run ServiceRun) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serviceRuns = append(u.serviceRuns, run)
}
