package request

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/upstream"
)

// chargeTimeout is the time limit for charging tokens beyond a reservation.
const chargeTimeout = 2 * time.Second

// bytesPerKiB is the amount of text to which a declared tokens-per-KiB limit applies.
const bytesPerKiB = 1024

// tokenBound holds upper bounds on the tokens of a completion, prompt and answer.
type tokenBound struct {
	// conservative holds for any tokenizer.
	conservative uint64
	// declared follows from the limits that operators declare for the service; at most
	// conservative. It is only as accurate as the declaration.
	declared uint64
	// prompt is the prompt's part of declared.
	prompt uint64
	// limits are the declared limits from which declared was computed.
	limits tokenLimits
}

// tokenLimits are the token limits that operators declare for a service; zero if unknown.
type tokenLimits struct {
	perKiB  uint64
	context uint64
}

func declaredLimits(service *operatorv1.Service) tokenLimits {
	return tokenLimits{perKiB: uint64(service.GetMaxTokensPerKib()), context: uint64(service.GetMaxContextTokens())}
}

// tokenBound returns the bounds of a request with the given answer limit.
func (b *chatBody) tokenBound(limits tokenLimits, limit uint64) tokenBound {
	template := uint64(len(b.messages)) * tokensPerMessage
	prompt := b.promptTokens
	if limits.perKiB > 0 {
		text := (b.promptTokens-template)*limits.perKiB + bytesPerKiB - 1
		prompt = min(prompt, template+text/bytesPerKiB)
	}
	bound := tokenBound{conservative: b.promptTokens + limit, declared: prompt + limit, prompt: prompt, limits: limits}
	if limits.context > 0 {
		bound.declared = min(bound.declared, limits.context)
	}
	return bound
}

// contradictedBy reports whether an engine's token count contradicts the declared limits.
func (t tokenBound) contradictedBy(u upstream.Usage) bool {
	if t.limits.perKiB > 0 && u.PromptTokens > t.prompt {
		return true
	}
	return t.limits.context > 0 && u.Total() > t.limits.context
}

// contradictedLimits holds, by service, the declared limits that engines' counts contradicted
// on this node. The zero value is ready to use; it is safe for concurrent use.
type contradictedLimits struct{ byService sync.Map }

func (w *contradictedLimits) trusts(service string, limits tokenLimits) bool {
	contradicted, found := w.byService.Load(service)
	return !found || contradicted.(tokenLimits) != limits
}

// distrust reports whether the limits were trusted before.
func (w *contradictedLimits) distrust(service string, limits tokenLimits) bool {
	previous, found := w.byService.Swap(service, limits)
	return !found || previous.(tokenLimits) != limits
}

// reserveChat reserves a completion's tokens: by the declared bound, or by the conservative
// one once an engine's count contradicted the declaration.
func (s *Server) reserveChat(ctx context.Context, run *chatRun) (budget.Grant, error) {
	service := run.service.GetName()
	run.reserved = run.bound.conservative
	if s.contradicted.trusts(service, run.bound.limits) {
		run.reserved = run.bound.declared
	}
	return s.reserve(ctx, s.Config(), run.account.GetName(), service, run.reserved)
}

// checkTokenBound compares an engine's count with the declared bound. Limits that are declared
// too low would let an account use tokens that it hasn't paid for, again and again. At the
// first count that contradicts them, this node falls back to the conservative bound until the
// declaration changes. Usage beyond the reservation is charged as far as the budget goes, so
// that no more is billed than was prepaid.
func (r *chatRun) checkTokenBound(u upstream.Usage) {
	if !r.bound.contradictedBy(u) {
		return
	}
	first := r.server.contradicted.distrust(r.service.GetName(), r.bound.limits)
	unpaid := r.chargeOverage(u.Total() - min(u.Total(), r.reserved))
	if first || unpaid > 0 {
		r.server.Events.Record(event.TokenBoundExceeded, "request", r.grant.Request(), "service", r.service.GetName(),
			"prompt", u.PromptTokens, "prompt_bound", r.bound.prompt, "tokens", u.Total(), "unpaid", unpaid)
	}
}

// chargeOverage charges tokens used beyond the reservation, as many as the budget has, and
// returns the number left unpaid.
func (r *chatRun) chargeOverage(tokens uint64) (unpaid uint64) {
	ctx, done := clockwork.WithTimeout(context.Background(), r.server.Clock, chargeTimeout)
	defer done()
	name := r.server.Config().BudgetName(r.account.GetName(), r.service.GetName())
	for amount := tokens; amount > 0 && ctx.Err() == nil; amount = min(amount, tokens) {
		grant, err := r.server.Reserver.Reserve(ctx, name, amount)
		if err != nil {
			amount /= 2
			continue
		}
		grant.Finish(amount)
		tokens -= amount
	}
	return tokens
}
