package fake

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// EngineRun is one completion as an engine saw it.
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

// ServiceRun is one execution of a plain call.
type ServiceRun struct {
	Upstream string
	Request  string
	Method   string
	Body     string
	At       time.Time
}

// UpstreamFaults are the switches of all upstreams.
type UpstreamFaults struct {
	// Cross makes each engine's answer come for another request.
	Cross bool
	// CutAfter ends each engine's stream after so many tokens; 0 never.
	CutAfter int
	// RunTwice plants a defect: each plain call runs twice.
	RunTwice bool
	// SkipOnResume plants a defect: a stream that is read on lacks so many chunks.
	SkipOnResume uint64
	// IgnoreNotAfter makes upstreams run requests that arrive too late.
	IgnoreNotAfter bool
	// IgnoreFencing makes engines that check fencing numbers take any order.
	IgnoreFencing bool
}

// Upstreams are the engines and plain services, with what they saw. They are safe
// for concurrent use.
type Upstreams struct {
	clock   clockwork.Clock
	network *Network
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// CallTime is how long a plain call takes.
	CallTime time.Duration

	mu      sync.Mutex
	faults  UpstreamFaults
	runs    []*EngineRun
	byID    map[string]*EngineRun
	calls   []ServiceRun
	orders  []EngineOrder
	engines map[string]*engineState

	caches      map[string]*engineCache
	cacheFaults CacheFaults
	dead        map[string]bool
	deaths      []EngineOutage
	attempts    []Attempt
}

// NewUpstreams returns upstreams that work at the given pace.
func NewUpstreams(clock clockwork.Clock, network *Network, tokenTime, callTime time.Duration) *Upstreams {
	return &Upstreams{clock: clock, network: network, TokenTime: tokenTime, CallTime: callTime, byID: map[string]*EngineRun{},
		engines: map[string]*engineState{}, caches: map[string]*engineCache{}, dead: map[string]bool{}}
}

// SetFaults replaces the switches.
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

// Runs returns what the engines saw.
func (u *Upstreams) Runs() []EngineRun {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make([]EngineRun, 0, len(u.runs))
	for _, run := range u.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Calls returns what the plain services ran.
func (u *Upstreams) Calls() []ServiceRun {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]ServiceRun(nil), u.calls...)
}

// chatBody is what an engine reads of a request.
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
	u.byID[upstream+"/"+request] = run
	u.prefill(upstream, messages)
	return run
}

func (u *Upstreams) produce(run *EngineRun) (goOn bool) {
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
	if run := u.byID[upstream+"/"+request]; run != nil && !run.Finished {
		run.Cancelled = true
	}
}

func (u *Upstreams) ran(run ServiceRun) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.calls = append(u.calls, run)
}
