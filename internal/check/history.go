package check

import (
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/result"
)

// Outcome is how an operation looked to whoever asked for it.
type Outcome struct {
	Code result.Code
	// Lost tells that no answer came: the node died or the caller gave up.
	Lost    bool
	Message string
}

// OK tells whether the operation succeeded.
func (o Outcome) OK() bool { return !o.Lost && o.Code == result.OK }

// NotRun tells whether the answer promised that nothing ran.
func (o Outcome) NotRun() bool { return !o.Lost && o.Code != result.OK && o.Code.Info().NotRun }

// Span is when an operation ran, since the harness started.
type Span struct{ Call, Return time.Duration }

const diedMessage = "the node died"

// died tells that the process that served the operation ended.
func (o Outcome) died() bool { return o.Lost && o.Message == diedMessage }

// ChatOp is one completion as its caller saw it.
type ChatOp struct {
	Span
	Outcome
	Node    string
	Budget  string
	Prompt  string
	Request string
	// Text is what reached the caller; Tokens is what the answer reported.
	Text   string
	Tokens uint64
	// Resumed tells that the node died and the caller read the rest at another one.
	Resumed bool
	// Want is the text of a whole answer.
	Want string
}

// CallOp is one call of a plain service as its caller saw it.
type CallOp struct {
	Span
	Outcome
	Node   string
	Budget string
	// Body identifies the observation or work order; a retry has the same.
	Body       string
	Key        string
	Idempotent bool
	Answer     string
}

// ConfigOp is one operator's change of the resource under test.
type ConfigOp struct {
	Span
	Outcome
	Node     string
	ChangeID string
	// Base is the version it was made against, Version what the answer named.
	Base, Version uint64
	Value         uint32
}

// TopUpOp is one top-up as its operator saw it.
type TopUpOp struct {
	Span
	Outcome
	ID     string
	Budget string
	Tokens uint64
}

// ConfigRead is what a node had in force at a moment.
type ConfigRead struct {
	At          time.Duration
	Node        string
	Incarnation string
	Serving     bool
	Offset      uint64
	Version     uint64
	Value       uint32
}

// History is everything that was seen from outside. It is safe for concurrent use.
type History struct {
	mu          sync.Mutex
	Chats       []ChatOp
	Calls       []CallOp
	Configs     []ConfigOp
	TopUps      []TopUpOp
	ConfigReads []ConfigRead
	Drains      []DrainOp
}

func (h *History) addChat(op ChatOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Chats = append(h.Chats, op)
}

func (h *History) addCall(op CallOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Calls = append(h.Calls, op)
}

func (h *History) addConfig(op ConfigOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Configs = append(h.Configs, op)
}

func (h *History) addTopUp(op TopUpOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.TopUps = append(h.TopUps, op)
}

func (h *History) addRead(r ConfigRead) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ConfigReads = append(h.ConfigReads, r)
}

func (h *History) addDrain(op DrainOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Drains = append(h.Drains, op)
}
