package check

import (
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/result"
)

// Outcome is the result of an operation as its caller saw it.
type Outcome struct {
	Code result.Code
	// Lost reports that no response came: the node died or the caller gave up.
	Lost    bool
	Message string
}

// OK reports whether the operation succeeded.
func (o Outcome) OK() bool { return !o.Lost && o.Code == result.OK }

// NotRun reports whether the response guaranteed that nothing ran.
func (o Outcome) NotRun() bool { return !o.Lost && o.Code != result.OK && o.Code.Info().NotRun }

// Span is when an operation was called and returned, relative to the start of the harness.
type Span struct{ Call, Return time.Duration }

const nodeDiedMessage = "the node died"

// nodeDied reports whether the process that served the operation ended.
func (o Outcome) nodeDied() bool { return o.Lost && o.Message == nodeDiedMessage }

// ChatOp is one completion as its caller saw it.
type ChatOp struct {
	Span
	Outcome
	Node    string
	Budget  string
	Prompt  string
	Request string
	// Text is what reached the caller; Tokens is the usage that the response reported.
	Text   string
	Tokens uint64
	// Resumed reports that the node died and the caller read the rest at another node.
	Resumed bool
	// Want is the text of a complete response.
	Want string
}

// CallOp is one call of a plain service as its caller saw it.
type CallOp struct {
	Span
	Outcome
	Node   string
	Budget string
	// Body identifies the observation or work order; retries have the same body.
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
	// Base is the version the change was made against, Version the one in the response.
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

// ConfigRead is what a node had in force at one moment.
type ConfigRead struct {
	At          time.Duration
	Node        string
	Incarnation string
	Serving     bool
	Offset      uint64
	Version     uint64
	Value       uint32
}

// History is everything observed from outside the nodes. It is safe for concurrent use.
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

func (h *History) addConfigRead(r ConfigRead) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ConfigReads = append(h.ConfigReads, r)
}

func (h *History) addDrain(op DrainOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Drains = append(h.Drains, op)
}
