package check

import (
	"math"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"

	"lavenderpin.dev/lavenderpin/result"
)

// linearLimit bounds the search; a history that isn't decided by then is said so.
const linearLimit = 20 * time.Second

// accountInput is one operation on a budget.
type accountInput struct {
	budget string
	topUp  uint64
	spend  uint64
}

// accountModel is a prepaid account: what is spent was topped up before.
var accountModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		return partition(history, func(op porcupine.Operation) string { return op.Input.(accountInput).budget })
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		balance, in := state.(uint64), input.(accountInput)
		if in.spend > balance+in.topUp {
			return false, state
		}
		return true, balance + in.topUp - in.spend
	},
}

// callInput is one attempt of a call that must not run twice.
type callInput struct{ body string }

// callModel is an at-most-once register: it turns from idle to ran once, and an
// attempt that promises "not run" leaves it as it was.
var callModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		return partition(history, func(op porcupine.Operation) string { return op.Input.(callInput).body })
	},
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran := state.(bool)
		switch output.(callOutput) {
		case callRan: // an execution, as the service saw it
			if ran {
				return nil
			}
			return []any{true}
		case callAnswered:
			if !ran {
				return nil
			}
			return []any{true}
		default:
			return []any{ran}
		}
	},
}).ToModel()

type callOutput int

const (
	callRan callOutput = iota
	callAnswered
	callOther
)

// changeInput is a change of one resource against a version.
type changeInput struct{ base uint64 }

type changeOutput struct {
	version  uint64
	accepted bool
}

// configModel is a register that is changed by compare-and-set: a change wins only
// against the version in force.
func configModel(initial uint64) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return initial },
		Step: func(state, input, output any) (bool, any) {
			version, in, out := state.(uint64), input.(changeInput), output.(changeOutput)
			if !out.accepted {
				return in.base != version, version
			}
			return in.base == version && out.version > version, out.version
		},
	}
}

func partition(history []porcupine.Operation, key func(porcupine.Operation) string) [][]porcupine.Operation {
	groups := map[string][]porcupine.Operation{}
	var order []string
	for _, op := range history {
		if groups[key(op)] == nil {
			order = append(order, key(op))
		}
		groups[key(op)] = append(groups[key(op)], op)
	}
	sort.Strings(order)
	var parts [][]porcupine.Operation
	for _, k := range order {
		parts = append(parts, groups[k])
	}
	return parts
}

// linearizable searches an order of the concurrent operations that the models allow.
func (j *judge) linearizable() {
	j.search(WithinBudget, "account", accountModel, j.accountHistory())
	j.search(AtMostOnce, "call register", callModel, j.callHistory())
	j.search(ConfigNeverReverts, "configuration register", configModel(j.replay.firstVersion), j.configHistory())
}

func (j *judge) search(promise Invariant, name string, model porcupine.Model, history []porcupine.Operation) {
	switch porcupine.CheckOperationsTimeout(model, history, linearLimit) {
	case porcupine.Illegal:
		j.fault(promise, nil, "no order of the %d concurrent operations fits the %s", len(history), name)
	case porcupine.Unknown:
		j.fault(promise, nil, "the %s was not decided within %s for %d operations", name, linearLimit, len(history))
	}
}

func operation(client int, span Span, lost bool, input, output any) porcupine.Operation {
	op := porcupine.Operation{ClientId: client, Input: input, Call: int64(span.Call), Output: output, Return: int64(span.Return)}
	if lost {
		op.Return = math.MaxInt64
	}
	return op
}

func (j *judge) accountHistory() []porcupine.Operation {
	var history []porcupine.Operation
	for _, op := range j.record.TopUps {
		if op.OK() || j.replay.topUps[op.ID] {
			history = append(history, operation(len(history), op.Span, !op.OK(), accountInput{budget: op.Budget, topUp: op.Tokens}, nil))
		}
	}
	for _, op := range j.record.Chats {
		if op.OK() {
			history = append(history, operation(len(history), op.Span, false, accountInput{budget: op.Budget, spend: op.Tokens}, nil))
		}
	}
	for _, op := range j.record.Calls {
		if op.OK() {
			history = append(history, operation(len(history), op.Span, false, accountInput{budget: op.Budget, spend: callTokens}, nil))
		}
	}
	return history
}

func (j *judge) callHistory() []porcupine.Operation {
	var history []porcupine.Operation
	seen := map[string]bool{}
	for _, op := range j.record.Calls {
		if op.Idempotent {
			continue
		}
		output := callOther
		if op.OK() {
			output = callAnswered
		}
		history = append(history, operation(len(history), op.Span, op.Lost, callInput{op.Body}, output))
		if seen[op.Body] {
			continue
		}
		seen[op.Body] = true
		for _, run := range j.callRuns[op.Body] {
			at := run.At.Sub(j.record.Began)
			history = append(history, operation(len(history), Span{at, at}, false, callInput{op.Body}, callRan))
		}
	}
	return history
}

// configHistory takes an unknown outcome from the log: the change either stands
// there or never took effect.
func (j *judge) configHistory() []porcupine.Operation {
	var history []porcupine.Operation
	for _, op := range j.record.Configs {
		logged := j.replay.changes[op.ChangeID]
		switch {
		case op.OK():
			history = append(history, operation(len(history), op.Span, false, changeInput{op.Base}, changeOutput{op.Version, true}))
		case logged > 0:
			history = append(history, operation(len(history), op.Span, true, changeInput{op.Base}, changeOutput{logged, true}))
		case op.Code == result.VersionConflict && !op.Lost:
			history = append(history, operation(len(history), op.Span, false, changeInput{op.Base}, changeOutput{}))
		}
	}
	return history
}
