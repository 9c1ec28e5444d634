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

// chargeTimeout bounds how long charging beyond a reservation takes.
const chargeTimeout = 2 * time.Second

// bytesPerKiB is the text that a declared bound of tokens is given for.
const bytesPerKiB = 1024

// tokenBound is the most tokens that a completion can take, prompt and answer.
type tokenBound struct {
	// sound holds whatever the engine's tokenizer does.
	sound uint64
	// declared follows from what operators declare of the service; at most sound. It is
	// only as good as they are.
	declared uint64
	// prompt is the part of declared that the prompt has.
	prompt uint64
	// limits are the declaration that declared was worked out from.
	limits tokenLimits
}

// tokenLimits is what operators declare of a service's tokens; zero for unknown.
type tokenLimits struct {
	perKiB  uint64
	context uint64
}

func limitsOf(service *operatorv1.Service) tokenLimits {
	return tokenLimits{perKiB: uint64(service.GetMaxTokensPerKib()), context: uint64(service.GetMaxContextTokens())}
}

// tokenBound returns the bounds of a request whose answer has a limit.
func (b *chatBody) tokenBound(limits tokenLimits, limit uint64) tokenBound {
	template := uint64(len(b.messages)) * tokensPerMessage
	prompt := b.bound
	if limits.perKiB > 0 {
		text := (b.bound-template)*limits.perKiB + bytesPerKiB - 1
		prompt = min(prompt, template+text/bytesPerKiB)
	}
	bound := tokenBound{sound: b.bound + limit, declared: prompt + limit, prompt: prompt, limits: limits}
	if limits.context > 0 {
		bound.declared = min(bound.declared, limits.context)
	}
	return bound
}

// exceeded tells whether an engine's count contradicts the declaration.
func (t tokenBound) exceeded(u upstream.Usage) bool {
	if t.limits.perKiB > 0 && u.PromptTokens > t.prompt {
		return true
	}
	return t.limits.context > 0 && u.Total() > t.limits.context
}

// wrongLimits holds, by service, the declarations that engines' counts contradicted on
// this node. The zero value is ready; it is safe for concurrent use.
type wrongLimits struct{ byService sync.Map }

func (w *wrongLimits) trusts(service string, limits tokenLimits) bool {
	wrong, known := w.byService.Load(service)
	return !known || wrong.(tokenLimits) != limits
}

// distrust returns whether the declaration was trusted before.
func (w *wrongLimits) distrust(service string, limits tokenLimits) bool {
	before, known := w.byService.Swap(service, limits)
	return !known || before.(tokenLimits) != limits
}

// reserveChat covers a completion: by the declared bound, unless engines contradicted it.
func (s *Server) reserveChat(ctx context.Context, run *chatRun) (budget.Grant, error) {
	service := run.service.GetName()
	run.reserved = run.bound.sound
	if s.wrong.trusts(service, run.bound.limits) {
		run.reserved = run.bound.declared
	}
	return s.reserve(ctx, s.Config(), run.account.GetName(), service, run.reserved)
}

// checkBound compares an engine's count with the declared bound. A declaration that is
// too low would let an account have tokens that it hasn't paid for, again and again; at
// the first count that contradicts it this node goes back to the sound bound, until the
// declaration is changed. What was used beyond the reservation is charged as far as the
// budget goes: billed is never more than was prepaid.
func (r *chatRun) checkBound(u upstream.Usage) {
	if !r.bound.exceeded(u) {
		return
	}
	first := r.server.wrong.distrust(r.service.GetName(), r.bound.limits)
	unpaid := r.chargeMore(u.Total() - min(u.Total(), r.reserved))
	if first || unpaid > 0 {
		r.server.Events.Record(event.TokenBoundExceeded, "request", r.grant.Request(), "service", r.service.GetName(),
			"prompt", u.PromptTokens, "prompt_bound", r.bound.prompt, "tokens", u.Total(), "unpaid", unpaid)
	}
}

// chargeMore charges tokens used beyond the reservation, as many as the budget has, and
// returns those that are left unpaid.
func (r *chatRun) chargeMore(tokens uint64) (unpaid uint64) {
	ctx, done := clockwork.WithTimeout(context.Background(), r.server.Clock, chargeTimeout)
	defer done()
	name := r.server.Config().BudgetName(r.account.GetName(), r.service.GetName())
	for part := tokens; part > 0 && ctx.Err() == nil; part = min(part, tokens) {
		grant, err := r.server.Reserver.Reserve(ctx, name, part)
		if err != nil {
			part /= 2
			continue
		}
		grant.Finish(part)
		tokens -= part
	}
	return tokens
}
