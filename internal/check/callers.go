package check

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/internal/fake"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

// callerTimeout is how long a caller waits for a complete response.
const callerTimeout = 20 * time.Second

// sampleInterval is how often the configuration in force is sampled.
const sampleInterval = 250 * time.Millisecond

// sink is the caller's end of a response.
type sink struct {
	mu   sync.Mutex
	ctx  context.Context
	gate *fake.Gate
	id   string
	// streams reports whether the caller reads the response as a stream.
	streams bool
	// cursor is the event ID of the last chunk that arrived.
	cursor string
	text   strings.Builder
	usage  upstream.Usage
}

// Start implements request.Sink.
func (s *sink) Start(id budget.RequestID, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = id.String()
}

// Chunk implements request.Sink. Writes of a paused or dead node do not arrive.
func (s *sink) Chunk(cursor string, chunk upstream.Chunk) error {
	if err := s.gate.Enter(s.ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cursor = cursor
	s.text.WriteString(chunk.Content)
	if chunk.Usage != nil {
		s.usage = *chunk.Usage
	}
	return nil
}

// Streams implements request.Sink.
func (s *sink) Streams() bool { return s.streams }

// Restart implements request.Sink.
func (s *sink) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text.Reset()
}

func outcomeOf(err error) Outcome {
	if err == nil {
		return Outcome{}
	}
	return Outcome{Code: result.CodeOf(err), Message: err.Error()}
}

// invoke runs a caller's request on a node like a connection would: if the node dies or the
// caller times out, no response comes.
func (h *Harness) invoke(m *Member, gate *fake.Gate, call func(context.Context) error) (Outcome, Span) {
	span := Span{Call: h.since()}
	ctx, cancel := clockwork.WithTimeout(context.Background(), h.clock, callerTimeout)
	defer cancel()
	done := make(chan error, 1)
	h.Go(func() {
		h.onStep(fake.StepReserve, m.Address())
		err := gate.Enter(ctx)
		if err == nil {
			err = m.Node().Serving()
		}
		if err == nil {
			err = call(ctx)
		}
		if gate.Enter(context.Background()) == nil {
			done <- err
		}
	})
	outcome := Outcome{Lost: true}
	select {
	case err := <-done:
		outcome = outcomeOf(err)
	case <-gate.Dead():
		outcome.Message = nodeDiedMessage
	case <-ctx.Done():
		outcome.Message = "the caller gave up"
	}
	span.Return = h.since()
	return outcome, span
}

// Chat requests a completion from a node; a complete response repeats the prompt.
func (h *Harness) Chat(m *Member, account, model, prompt string) ChatOp {
	gate := m.Gate()
	words := strings.Fields(prompt)
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": len(words),
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	response := &sink{gate: gate, streams: h.intN(2) == 0}
	finished := make(chan struct{})
	outcome, span := h.invoke(m, gate, func(ctx context.Context) error {
		defer close(finished)
		response.ctx = ctx
		return m.Node().Requests().Chat(ctx, request.ChatCall{Key: accountKey + account, Body: body}, response)
	})
	op := ChatOp{Span: span, Outcome: outcome, Node: m.Address(), Budget: budgetOf(account), Prompt: prompt,
		Want: strings.Join(words, " ") + " "}
	if h.resumesStreams && outcome.nodeDied() && response.streams {
		h.resumeChat(&op, account, response)
	}
	if op.Lost || op.Resumed {
		h.History.addChat(op)
		return op
	}
	select {
	case <-finished:
		op.Request, op.Text, op.Tokens = response.id, response.text.String(), response.usage.Total()
	default: // refused before the request began
	}
	h.History.addChat(op)
	return op
}

// Call calls the plain service through a node.
func (h *Harness) Call(m *Member, account, method, body, key string) CallOp {
	gate := m.Gate()
	responses := make(chan upstream.CallResponse, 1)
	outcome, span := h.invoke(m, gate, func(ctx context.Context) error {
		callResponse, err := m.Node().Requests().Call(ctx, request.ServiceCall{
			Key: accountKey + account, Service: plainService, Method: method, Path: "/", Body: []byte(body), IdempotencyKey: key,
		})
		responses <- callResponse
		return err
	})
	op := CallOp{Span: span, Outcome: outcome, Node: m.Address(), Budget: budgetOf(account), Body: body, Key: key, Idempotent: method == "GET"}
	if outcome.OK() {
		response := <-responses
		op.Answer = string(response.Body)
	}
	h.History.addCall(op)
	return op
}

// TopUp adds prepaid tokens through a node.
func (h *Harness) TopUp(m *Member, id, budget string, tokens uint64) TopUpOp {
	outcome, span := h.invoke(m, m.Gate(), func(ctx context.Context) error {
		_, err := m.operator.TopUp(operatorContext(ctx), &operatorv1.TopUpRequest{
			TopUp: &operatorv1.TopUp{Id: id, Budget: budget, Tokens: tokens}})
		return err
	})
	op := TopUpOp{Span: span, Outcome: outcome, ID: id, Budget: budget, Tokens: tokens}
	h.History.addTopUp(op)
	return op
}

// Change sets the value of the resource under test through a node, against the version that
// the node has in force.
func (h *Harness) Change(m *Member, changeID string, value uint32) ConfigOp {
	current := resourceUnderTest(m.Node().Config())
	next := &operatorv1.Upstream{Name: spareUpstream, Service: plainService, Address: "127.0.0.1:1", Region: RegionHome,
		DataCentre: RegionHome + "-a", Draining: true, Slots: value}
	versions := make(chan uint64, 1)
	outcome, span := h.invoke(m, m.Gate(), func(ctx context.Context) error {
		response, err := m.operator.Apply(operatorContext(ctx), &operatorv1.ApplyRequest{ChangeId: changeID, Changes: []*operatorv1.Change{{
			BaseVersion: current.GetVersion(), Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: next}}}}})
		versions <- response.GetVersion()
		return err
	})
	op := ConfigOp{Span: span, Outcome: outcome, Node: m.Address(), ChangeID: changeID, Base: current.GetVersion(), Value: value}
	if !outcome.Lost {
		select {
		case op.Version = <-versions:
		default:
		}
	}
	h.History.addConfig(op)
	return op
}

// resourceUnderTest returns the resource whose changes are checked, or nil if it is absent.
func resourceUnderTest(view *config.View) *operatorv1.VersionedResource {
	return view.Versioned(config.Key{Kind: config.KindUpstream, Name: spareUpstream})
}

// sampleConfig records what each live node has in force until done is closed.
func (h *Harness) sampleConfig(done <-chan struct{}) {
	last := map[string]ConfigRead{}
	for {
		select {
		case <-done:
			return
		case <-h.clock.After(sampleInterval):
		}
		for _, m := range h.Members {
			if !m.Live() {
				continue
			}
			read := h.readConfig(m)
			if previous, ok := last[read.Incarnation]; !ok || previous.Version != read.Version || previous.Serving != read.Serving {
				last[read.Incarnation] = read
				h.History.addConfigRead(read)
			}
		}
	}
}

func (h *Harness) readConfig(m *Member) ConfigRead {
	n := m.Node()
	read := ConfigRead{At: h.since(), Node: m.Address(), Incarnation: n.Incarnation(), Serving: n.Serving() == nil, Offset: n.AppliedOffset()}
	if current := resourceUnderTest(n.Config()); current != nil {
		read.Version, read.Value = current.GetVersion(), current.GetResource().GetUpstream().GetSlots()
	}
	return read
}
