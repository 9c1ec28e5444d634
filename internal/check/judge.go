package check

import (
	"fmt"
	"reflect"
	"time"

	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/internal/fake"
	"lavenderpin.dev/lavenderpin/result"
)

// judge holds what the single checks share.
type judge struct {
	record *Record
	replay *replay
	// chatRuns are the engines' runs by prompt, callRuns the services' by body.
	chatRuns map[string][]fake.EngineRun
	callRuns map[string][]fake.ServiceRun
	// bills is what each request is charged, parts at peers included.
	bills  map[string]uint64
	faults []Violation
}

// Check returns every promise that a history broke.
func Check(record *Record) []Violation {
	keep := map[uint64]bool{}
	for _, final := range record.Finals {
		keep[final.Offset] = true
	}
	j := &judge{record: record, replay: replayLog(record.Log, keep),
		chatRuns: map[string][]fake.EngineRun{}, callRuns: map[string][]fake.ServiceRun{}}
	for _, run := range record.EngineRuns {
		j.chatRuns[run.Prompt] = append(j.chatRuns[run.Prompt], run)
	}
	for _, run := range record.ServiceRuns {
		j.callRuns[run.Body] = append(j.callRuns[run.Body], run)
	}
	j.bills = j.billsWithParts()
	j.faults = append(j.faults, j.replay.faults...)
	j.chats()
	j.calls()
	j.unfounded()
	j.rights()
	j.ledgers()
	j.configuration()
	j.orders()
	j.drains()
	j.engineDeaths()
	j.leavings()
	j.recovery()
	j.linearizable()
	return j.faults
}

func (j *judge) fault(promise Invariant, ids []string, format string, args ...any) {
	j.faults = append(j.faults, Violation{Invariant: promise, Text: fmt.Sprintf(format, args...), IDs: ids})
}

func (j *judge) chats() {
	for _, op := range j.record.Chats {
		runs := j.chatRuns[op.Prompt]
		ids := []string{op.Request}
		if op.NotRun() && len(runs) > 0 {
			j.fault(NotRun, append(ids, runs[0].Request), "chat %q at %s was refused as not run (%s), and ran %d times", op.Prompt, op.Node, op.Message, len(runs))
		}
		if !op.OK() {
			continue
		}
		if op.Text != op.Want || op.Tokens == 0 || len(runs) == 0 {
			j.fault(WholeAnswer, ids, "chat %q at %s got %q as whole", op.Prompt, op.Node, op.Text)
		}
		if billed := j.bills[op.Request]; billed != op.Tokens {
			j.fault(BilledOnce, ids, "chat %q at %s was answered whole with %d tokens and billed %d", op.Prompt, op.Node, op.Tokens, billed)
		}
	}
}

func (j *judge) calls() {
	byBody := map[string][]CallOp{}
	for _, op := range j.record.Calls {
		byBody[op.Body] = append(byBody[op.Body], op)
	}
	for body, ops := range byBody {
		runs := j.callRuns[body]
		if !ops[0].Idempotent && len(runs) > 1 {
			j.fault(AtMostOnce, requestsOf(runs), "call %q ran %d times", body, len(runs))
		}
		if allNotRun(ops) && len(runs) > 0 {
			j.fault(NotRun, requestsOf(runs), "call %q was refused as not run (%s), and ran %d times", body, ops[0].Message, len(runs))
		}
		j.answeredCalls(body, ops, runs)
	}
}

func (j *judge) answeredCalls(body string, ops []CallOp, runs []fake.ServiceRun) {
	answered := false
	for _, op := range ops {
		if !op.OK() {
			continue
		}
		answered = true
		if op.Answer != body || len(runs) == 0 {
			j.fault(WholeAnswer, requestsOf(runs), "call %q at %s got %q", body, op.Node, op.Answer)
		}
	}
	billed := uint64(0)
	for _, run := range runs {
		billed += j.bills[run.Request]
	}
	if answered && billed != callTokens {
		j.fault(BilledOnce, requestsOf(runs), "call %q was answered and billed %d tokens, not %d", body, billed, callTokens)
	}
}

func allNotRun(ops []CallOp) bool {
	for _, op := range ops {
		if !op.NotRun() {
			return false
		}
	}
	return true
}

func requestsOf(runs []fake.ServiceRun) []string {
	var ids []string
	for _, run := range runs {
		ids = append(ids, run.Request)
	}
	return ids
}

// lostCalls counts, by address, the plain calls that got no answer and didn't run.
func (j *judge) lostCalls() map[string]int {
	lost := map[string]int{}
	for _, op := range j.record.Calls {
		if op.Lost && len(j.callRuns[op.Body]) == 0 {
			lost[op.Node]++
		}
	}
	return lost
}

// mayHaveRun allows what docs/operators/billing-rules.md says of a plain call whose
// node died with it open: nobody can ask a plain service whether it ran, so it is
// billed what was declared. It needs a killed node and a call lost there for each.
func (j *judge) mayHaveRun(request string, billed uint64, lost map[string]int) bool {
	id, ok := budget.ParseRequestID(request)
	address, killed := j.record.Killed[id.Incarnation]
	if !ok || !killed || billed != callTokens || lost[address] == 0 {
		return false
	}
	lost[address]--
	return true
}

// billsWithParts adds what peers were billed for parts of a request to the request.
func (j *judge) billsWithParts() map[string]uint64 {
	whole := map[string]string{}
	for _, part := range j.record.Parts {
		whole[part.Part] = part.Request
	}
	bills := map[string]uint64{}
	for request, b := range j.replay.bills {
		if of := whole[request]; of != "" {
			request = of
		}
		bills[request] += b.tokens
	}
	return bills
}

// unfounded looks for money that nothing stands for: each request billed must have run
// and produced at least as much, and a request that failed whole costs nothing.
func (j *judge) unfounded() {
	most := map[string]uint64{}
	for _, run := range j.record.EngineRuns {
		most[run.Request] = max(most[run.Request], run.PromptTokens+run.Produced)
	}
	for _, run := range j.record.ServiceRuns {
		most[run.Request] = callTokens
	}
	lost := j.lostCalls()
	for request, billed := range j.bills {
		if billed > most[request] && !j.mayHaveRun(request, billed, lost) {
			j.fault(BilledOnce, []string{request}, "request %s was billed %d tokens, and upstreams produced %d", request, billed, most[request])
		}
	}
	for _, op := range j.record.Chats {
		failed := !op.OK() && !op.Lost && op.Code != result.CallerGone
		if billed := j.bills[op.Request]; failed && billed > 0 && op.Request != "" {
			j.fault(BilledOnce, []string{op.Request}, "chat %q failed with %s and was billed %d", op.Prompt, op.Code, billed)
		}
	}
}

// rights checks that no request reached an upstream after its incarnation's right
// to spend had ended: its tokens may be somebody else's by then.
func (j *judge) rights() {
	for _, run := range j.record.EngineRuns {
		j.right(run.Request, run.Start)
	}
	for _, run := range j.record.ServiceRuns {
		j.right(run.Request, run.At)
	}
}

func (j *judge) right(request string, at time.Time) {
	id, ok := budget.ParseRequestID(request)
	if ok && !j.replay.mayHaveSpent(id.Incarnation, at) {
		j.fault(SpendRight, []string{request}, "request %s reached an upstream at %s, after its incarnation's right had ended", request, at.Sub(j.record.Began))
	}
}

// ledgers compares every node's ledger with the replay at the same offset.
func (j *judge) ledgers() {
	for _, final := range j.record.Finals {
		want, known := j.replay.lines[final.Offset]
		if !known {
			continue
		}
		if !reflect.DeepEqual(byName(want), byName(final.Lines)) {
			j.fault(BilledOnce, []string{final.Incarnation}, "%s (%s) folds another ledger at offset %d: %s, the log says %s",
				final.Node, final.Incarnation, final.Offset, linesText(final.Lines), linesText(want))
		}
	}
}

// brief is what must agree of a line between nodes.
type brief struct{ prepaid, spent, pool uint64 }

func byName(lines []budget.Line) map[string]brief {
	m := map[string]brief{}
	for _, line := range lines {
		m[line.Budget] = brief{line.Prepaid, line.Spent, line.Pool}
	}
	return m
}

func linesText(lines []budget.Line) string {
	text := ""
	for _, line := range lines {
		text += fmt.Sprintf("[%s prepaid %d spent %d pool %d]", line.Budget, line.Prepaid, line.Spent, line.Pool)
	}
	return text
}

// configuration checks that no node goes back, and that all end at the log's state.
func (j *judge) configuration() {
	last := map[string]ConfigRead{}
	for _, read := range j.record.ConfigReads {
		before, known := last[read.Node]
		if known && before.Serving && read.Serving && read.Version < before.Version {
			j.fault(ConfigNeverReverts, []string{read.Incarnation}, "%s went from version %d back to %d at %s", read.Node, before.Version, read.Version, read.At)
		}
		if !known || read.Serving {
			last[read.Node] = read
		}
	}
	want := underTest(j.replay.config.View()).GetVersion()
	for _, final := range j.record.Finals {
		if final.Serving && final.Version != want {
			j.fault(ConfigNeverReverts, []string{final.Incarnation}, "%s ends with version %d in force, the log says %d", final.Node, final.Version, want)
		}
	}
	for _, op := range j.record.Configs {
		if op.OK() && op.Version > want {
			j.fault(ConfigNeverReverts, nil, "the change to %d was accepted as version %d and is lost", op.Value, op.Version)
		}
	}
}

// orders checks that no engine takes an order of a former holder after one of its
// successor: fencing numbers only rise.
func (j *judge) orders() {
	highest := map[string]uint64{}
	for _, order := range j.record.Orders {
		if order.Accepted && order.Fencing < highest[order.Upstream] {
			j.fault(OneHolder, []string{order.Upstream}, "%s took an order of %s under fencing number %d after one under %d at %s",
				order.Upstream, order.Node, order.Fencing, highest[order.Upstream], order.At.Sub(j.record.Began))
		}
		highest[order.Upstream] = max(highest[order.Upstream], order.Fencing)
	}
}

// drains looks for answers that a planned stop cut. An engine that cuts answers, a
// cut network and a pause cut them too; beside one of those only a request that the
// stopping process left behind is laid to the stop.
func (j *judge) drains() {
	for _, drain := range j.record.Drains {
		if !drain.Ended {
			continue
		}
		for _, op := range j.record.Chats {
			during := op.Node == drain.Node && op.Call < drain.Return && op.Return >= drain.Call
			if during && (op.died() || drain.Alone && !op.OK() && !op.NotRun()) {
				j.fault(GracefulStop, []string{op.Request}, "chat %q at %s was cut by a planned stop: %s", op.Prompt, op.Node, op.Message)
			}
		}
	}
}

func (j *judge) recovery() {
	for _, node := range j.record.Stuck {
		j.fault(Recovers, nil, "%s does not serve again", node)
	}
	for _, final := range j.record.Finals {
		if final.Serving && !final.Probe.OK() {
			j.fault(Recovers, []string{final.Incarnation}, "%s refuses or fails a last request: %s", final.Node, final.Probe.Message)
		}
	}
}
