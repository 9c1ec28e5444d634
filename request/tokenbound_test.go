package request

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	boundWords  = 100
	boundAnswer = 10
	boundTokens = boundWords + boundAnswer
)

// boundCall is a request with a prompt of 100 words, each of so many letters and a
// space, and an answer of 10; the stand-in engine counts words.
func boundCall(letters int) ChatCall {
	text := strings.TrimSpace(strings.Repeat(strings.Repeat("w", letters)+" ", boundWords))
	return chatCall(fmt.Appendf(nil, `{"model":%q,"max_tokens":%d,"messages":[{"content":%q}]}`, testModel, boundAnswer, text))
}

// boundSite is a node before an engine service with the limits given.
func boundSite(t *testing.T, limits tokenLimits) (*site, *testServer) {
	s := newSite(t, standin.EngineOptions{})
	s.declareLimits(limits)
	return s, s.newServer("a")
}

func (s *site) declareLimits(limits tokenLimits) {
	s.changes = nil
	s.declare(&operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{Name: "chat",
		Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{testModel},
		MaxTokensPerKib: uint32(limits.perKiB), MaxContextTokens: uint32(limits.context)}}})
	s.apply()
}

// leave spends the budget down to so many tokens.
func (s *testServer) leave(t *testing.T, tokens uint64) {
	spent, err := s.holder.Reserve("budget", s.holder.Available("budget")-tokens)
	if err != nil {
		t.Fatal(err)
	}
	spent.Finish(spent.Tokens)
}

func (s *testServer) ask(letters int) result.Code {
	return result.CodeOf(s.Chat(context.Background(), boundCall(letters), &testSink{}))
}

// unpaid returns the tokens that the events name as unpaid, and how many events there are.
func (s *testServer) unpaid() (tokens string, events int) {
	all, _ := s.Events.After(0, 1000)
	for _, e := range all {
		if e.Number == event.TokenBoundExceeded {
			tokens = e.Fields["unpaid"]
			events++
		}
	}
	return tokens, events
}

// A budget has enough left for a summary, but less than the summary's bytes. Bounded by
// its bytes alone it would be refused, and sign-off would wait for a top-up.
func TestDeclaredBoundIsTighterThanByteBound(t *testing.T) {
	is := is.New(t)
	for _, limits := range []tokenLimits{{perKiB: 300}, {context: 150}, {perKiB: 1024, context: 150}, {perKiB: 300, context: 8192}} {
		_, n := boundSite(t, limits)
		n.leave(t, 170)
		is.Equal(n.ask(4), result.OK)
		is.Equal(n.settled(t), uint64(testTokens-170+boundTokens))
	}
	_, undeclared := boundSite(t, tokenLimits{})
	undeclared.leave(t, 170)
	is.Equal(undeclared.ask(4), result.BudgetSpent)
	_, events := undeclared.unpaid()
	is.Equal(events, 0)
}

// Operators declare fewer tokens per byte than a tokenizer makes of some texts. The
// first count shows it, while the budget pays in full for what was counted; later, near
// its end, the declaration must not let the account have more than it paid for.
func TestContradictedLimitsAreChargedAndDropped(t *testing.T) {
	is := is.New(t)
	for _, limits := range []tokenLimits{{perKiB: 100}, {context: 50}} {
		s, n := boundSite(t, limits)
		is.Equal(n.ask(4), result.OK)
		is.Equal(n.settled(t), uint64(boundTokens))
		unpaid, events := n.unpaid()
		is.Equal(unpaid, "0")
		is.Equal(events, 1)
		n.leave(t, 170)
		is.Equal(n.ask(4), result.BudgetSpent) // bounded by bytes again
		s.declareLimits(tokenLimits{perKiB: 300})
		is.Equal(n.ask(4), result.OK) // a new declaration counts anew
		_, events = n.unpaid()
		is.Equal(events, 1)
	}
}

// The first text that contradicts the declaration comes when the budget is nearly
// spent. The bill must stay within what was prepaid, the operator learn what wasn't
// paid for, and the second such text be refused.
func TestContradictedLimitsOvershootOnce(t *testing.T) {
	is := is.New(t)
	_, n := boundSite(t, tokenLimits{perKiB: 100})
	n.leave(t, 100)
	is.Equal(n.ask(1), result.OK)              // 199 bytes: declared 20 + 8 + 10, counted 110
	is.Equal(n.settled(t), uint64(testTokens)) // 38 reserved, then the 62 left
	unpaid, events := n.unpaid()
	is.Equal(unpaid, "10")
	is.Equal(events, 1)
	is.Equal(n.ask(1), result.BudgetSpent)
	is.Equal(n.settled(t), uint64(testTokens))
}

// Whatever is declared, the bound must not exceed the sound one, and a count above the
// bound must be taken as a contradiction: else it would go unseen, again and again.
func TestTokenBoundProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.IntRange(1, 500).Draw(t, "words")
		messages := rapid.IntRange(1, 4).Draw(t, "messages")
		limits := tokenLimits{perKiB: rapid.Uint64Range(0, bytesPerKiB).Draw(t, "per KiB"), context: rapid.Uint64Range(0, 4000).Draw(t, "context")}
		limit := rapid.Uint64Range(1, 4096).Draw(t, "limit")
		message := `{"content":"` + strings.Repeat("word ", words) + `"}`
		body, err := parseChat([]byte(`{"model":"m","messages":[` + strings.Repeat(message+",", messages-1) + message + `]}`))
		if err != nil {
			t.Fatal(err)
		}
		bound := body.tokenBound(limits, limit)
		if bound.sound != body.promptBound()+limit || bound.declared > bound.sound || bound.prompt > body.promptBound() {
			t.Fatalf("%+v", bound)
		}
		counted := upstream.Usage{PromptTokens: rapid.Uint64Range(0, body.promptBound()).Draw(t, "prompt"), CompletionTokens: rapid.Uint64Range(0, limit).Draw(t, "answer")}
		if counted.Total() > bound.declared && !bound.exceeded(counted) {
			t.Fatalf("%+v exceeds %+v unseen", counted, bound)
		}
	})
}
