package request

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
)

// priorityBody parses a request with the given field and returns its effective priority and
// the one sent to the engine.
func priorityBody(t *testing.T, field string, account int32, order operatorv1.PriorityOrder) (int, string) {
	t.Helper()
	is := is.New(t)
	body, err := parseChat([]byte(`{"model":"m","messages":[{"content":"x"}]` + field + `}`))
	is.NoErr(err)
	priority := body.effectivePriority(&operatorv1.Account{Priority: account})
	body.setPriority(order, priority)
	sent, err := body.encodeForEngine(1)
	is.NoErr(err)
	var fields map[string]json.RawMessage
	is.NoErr(json.Unmarshal(sent, &fields))
	return priority, string(fields["priority"])
}

// A caller sets a priority above its account's in the body for the engine. If it were
// forwarded unchanged, the caller's bulk work would run before everybody else's.
func TestCallerCannotRaiseItsPriority(t *testing.T) {
	is := is.New(t)
	none, lower, higher := operatorv1.PriorityOrder_PRIORITY_ORDER_UNSPECIFIED,
		operatorv1.PriorityOrder_PRIORITY_ORDER_LOWER_FIRST, operatorv1.PriorityOrder_PRIORITY_ORDER_HIGHER_FIRST
	for _, c := range []struct {
		field    string
		account  int32
		order    operatorv1.PriorityOrder
		priority int
		sent     string
	}{
		{``, 0, none, 0, ""},
		{`,"priority":9`, 0, none, 0, ""},
		{`,"priority":-9999999999`, 0, none, config.MinPriority, ""},
		{``, 3, lower, 3, "-3"},
		{`,"priority":null`, 3, higher, 3, "3"},
		{`,"priority":9`, 3, lower, 3, "-3"},
		{`,"priority":9`, 3, higher, 3, "3"},
		{`,"priority":-2`, 3, lower, -2, "2"},
		{`,"priority":-2`, 3, higher, -2, "-2"},
		{`,"priority":0`, -4, higher, -4, "-4"},
	} {
		priority, sent := priorityBody(t, c.field, c.account, c.order)
		is.Equal(priority, c.priority)
		is.Equal(sent, c.sent)
	}
	for _, broken := range []string{`"high"`, `1.5`, `{}`, `99999999999999999999`} {
		_, err := parseChat([]byte(`{"model":"m","messages":[{"content":"x"}],"priority":` + broken + `}`))
		is.Equal(result.CodeOf(err), result.MalformedRequest)
	}
}

// An account floods an engine with low-priority bulk work. If the engine weren't told the
// priorities, a later request of an urgent account would wait for the whole flood.
func TestLowPriorityFloodDoesNotDelayUrgentRequest(t *testing.T) {
	const flood = 20
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{Slots: 1, TokenTime: time.Millisecond})
	s.changes = nil
	s.declare(&operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{
		Name: "account", KeySha256: []string{config.HashKey(testKey)}, Priority: 5}}})
	s.declare(&operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{Name: "chat",
		Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{testModel}, PriorityOrder: operatorv1.PriorityOrder_PRIORITY_ORDER_LOWER_FIRST}}})
	s.apply()
	n := s.newServer("a")
	engine := s.engines[0]
	wait := func(waiting, begun int) {
		for engine.Waiting() != waiting || len(engine.Started()) != begun {
			time.Sleep(time.Millisecond)
		}
	}
	long, _ := prompt(4000)
	busy, stop := context.WithCancel(context.Background())
	defer stop()
	var requests sync.WaitGroup
	requests.Go(func() { _ = n.Chat(busy, chatCall(long), &testSink{stream: true}) })
	wait(0, 1)
	body, answer := prompt(2)
	low := fmt.Appendf(nil, `{"model":%q,"priority":-5,"max_tokens":2,"messages":[{"content":%q}]}`, testModel, answer)
	for range flood {
		requests.Go(func() { _ = n.Chat(context.Background(), chatCall(low), &testSink{}) })
	}
	wait(flood, 1)
	urgent := &requestIDSink{testSink: testSink{stream: true}}
	requests.Go(func() { _ = n.Chat(context.Background(), chatCall(body), urgent) })
	wait(flood+1, 1)
	stop()
	requests.Wait()
	is.Equal(urgent.text(), answer)
	is.Equal(engine.Started()[1], urgent.id) // directly after the request that held the slot
}
