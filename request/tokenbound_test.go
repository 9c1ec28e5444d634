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

// boundCall is a request with a prompt of 100 words, each of the given number of letters and
// a space, and an answer of 10 words; the stand-in engine counts words as tokens.
func boundCall(letters int) ChatCall {
	text := strings.TrimSpace(strings.Repeat(strings.Repeat("w", letters)+" ", boundWords))
	return chatCall(fmt.Appendf(nil, `{"model":%q,"max_tokens":%d,"messages":[{"content":%q}]}`, testModel, boundAnswer, text))
}

// newBoundFixture returns a node with an engine service that has the given limits.
func newBoundFixture(t *testing.T, limits tokenLimits) (*fixture, *testServer) {
	s := newFixture(t, standin.EngineOptions{})
	s.declareLimits(limits)
	return s, s.newServer("a")
}

func (s *fixture) declareLimits(limits tokenLimits) {
	s.changes = nil
	s.declare(&operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{Name: "chat",
		Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{testModel},
		MaxTokensPerKib: uint32(limits.perKiB), MaxContextTokens: uint32(limits.context)}}})
	s.apply()
}

// spendDownTo spends the budget until the given number of tokens is left.
func (s *testServer) spendDownTo(t *testing.T, tokens uint64) {
	spent, err := s.holder.Reserve("budget", s.holder.Available("budget")-tokens)
	if err != nil {
		t.Fatal(err)
	}
	spent.Finish(spent.Tokens)
}

func (s *testServer) chatCode(letters int) result.Code {
	return result.CodeOf(s.Chat(context.Background(), boundCall(letters), &testSink{}))
}

// unpaid returns the unpaid tokens in the last TokenBoundExceeded event, and the number of
// these events.
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

// A budget has enough left for a request's tokens, but less than the request's bytes. Bounded
// by its bytes alone, the request would be refused until a top-up.
func TestDeclaredBoundIsTighterThanByteBound(t *testing.T) {
	is := is.New(t)
	for _, limits := range []tokenLimits{{perKiB: 300}, {context: 150}, {perKiB: 1024, context: 150}, {perKiB: 300, context: 8192}} {
		_, n := newBoundFixture(t, limits)
		n.spendDownTo(t, 170)
		is.Equal(n.chatCode(4), result.OK)
		is.Equal(n.billedTokens(t), uint64(testTokens-170+boundTokens))
	}
	_, undeclared := newBoundFixture(t, tokenLimits{})
	undeclared.spendDownTo(t, 170)
	is.Equal(undeclared.chatCode(4), result.BudgetSpent)
	_, events := undeclared.unpaid()
	is.Equal(events, 0)
}

// The declared limits are lower than the engine's count for some texts. The first such count
// is charged in full while the budget allows; from then on, near the budget's end, the
// declaration must not let the account use more than it paid for.
func TestContradictedLimitsAreChargedAndDropped(t *testing.T) {
	is := is.New(t)
	for _, limits := range []tokenLimits{{perKiB: 100}, {context: 50}} {
		s, n := newBoundFixture(t, limits)
		is.Equal(n.chatCode(4), result.OK)
		is.Equal(n.billedTokens(t), uint64(boundTokens))
		unpaid, events := n.unpaid()
		is.Equal(unpaid, "0")
		is.Equal(events, 1)
		n.spendDownTo(t, 170)
		is.Equal(n.chatCode(4), result.BudgetSpent) // bounded by bytes again
		s.declareLimits(tokenLimits{perKiB: 300})
		is.Equal(n.chatCode(4), result.OK) // a new declaration is trusted again
		_, events = n.unpaid()
		is.Equal(events, 1)
	}
}

// The first text that contradicts the declaration arrives when the budget is nearly spent. The
// bill must not exceed what was prepaid, the operator must see what is unpaid, and the second
// such text must be refused.
func TestContradictedLimitsOvershootOnce(t *testing.T) {
	is := is.New(t)
	_, n := newBoundFixture(t, tokenLimits{perKiB: 100})
	n.spendDownTo(t, 100)
	is.Equal(n.chatCode(1), result.OK)              // 199 bytes: declared 20 + 8 + 10, counted 110
	is.Equal(n.billedTokens(t), uint64(testTokens)) // 38 reserved, then the remaining 62
	unpaid, events := n.unpaid()
	is.Equal(unpaid, "10")
	is.Equal(events, 1)
	is.Equal(n.chatCode(1), result.BudgetSpent)
	is.Equal(n.billedTokens(t), uint64(testTokens))
}

// The declared bound must never exceed the conservative one, and a count above it must be
// detected as a contradiction: otherwise it would go unnoticed, again and again.
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
		if bound.conservative != body.promptBound()+limit || bound.declared > bound.conservative || bound.prompt > body.promptBound() {
			t.Fatalf("%+v", bound)
		}
		counted := upstream.Usage{PromptTokens: rapid.Uint64Range(0, body.promptBound()).Draw(t, "prompt"), CompletionTokens: rapid.Uint64Range(0, limit).Draw(t, "answer")}
		if counted.Total() > bound.declared && !bound.contradictedBy(counted) {
			t.Fatalf("%+v exceeds %+v unseen", counted, bound)
		}
	})
}
