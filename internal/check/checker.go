package check

import (
	"fmt"
	"reflect"
	"time"

	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/internal/fake"
	"lavenderpin.dev/lavenderpin/result"
)

// checker holds the state shared by the individual checks.
type checker struct {
	record *Record
	replay *replay
	// chatRuns holds the engine runs by prompt, callRuns the service runs by request body.
	chatRuns map[string][]fake.EngineRun
	callRuns map[string][]fake.ServiceRun
	// bills is what each request was charged, including the parts reserved at peers.
	bills      map[string]uint64
	violations []Violation
}

// Check returns every violation of an invariant in a recorded history.
func Check(record *Record) []Violation {
	keep := map[uint64]bool{}
	for _, final := range record.Finals {
		keep[final.Offset] = true
	}
	c := &checker{record: record, replay: replayLog(record.Log, keep),
		chatRuns: map[string][]fake.EngineRun{}, callRuns: map[string][]fake.ServiceRun{}}
	for _, run := range record.EngineRuns {
		c.chatRuns[run.Prompt] = append(c.chatRuns[run.Prompt], run)
	}
	for _, run := range record.ServiceRuns {
		c.callRuns[run.Body] = append(c.callRuns[run.Body], run)
	}
	c.bills = c.billsIncludingParts()
	c.violations = append(c.violations, c.replay.violations...)
	c.checkChats()
	c.checkCalls()
	c.checkUnjustifiedBills()
	c.checkSpendRights()
	c.checkLedgers()
	c.checkConfiguration()
	c.checkOrders()
	c.checkDrains()
	c.checkEngineOutages()
	c.checkLeavings()
	c.checkRecovery()
	c.checkLinearizability()
	return c.violations
}

func (c *checker) report(invariant Invariant, ids []string, format string, args ...any) {
	c.violations = append(c.violations, Violation{Invariant: invariant, Text: fmt.Sprintf(format, args...), IDs: ids})
}

func (c *checker) checkChats() {
	for _, op := range c.record.Chats {
		runs := c.chatRuns[op.Prompt]
		ids := []string{op.Request}
		if op.NotRun() && len(runs) > 0 {
			c.report(NotRun, append(ids, runs[0].Request), "chat %q at %s was refused as not run (%s) but ran %d times", op.Prompt, op.Node, op.Message, len(runs))
		}
		if !op.OK() {
			continue
		}
		if op.Text != op.Want || op.Tokens == 0 || len(runs) == 0 {
			c.report(WholeAnswer, ids, "chat %q at %s received %q as a complete answer", op.Prompt, op.Node, op.Text)
		}
		if billed := c.bills[op.Request]; billed != op.Tokens {
			c.report(BilledOnce, ids, "chat %q at %s was answered completely with %d tokens but billed %d", op.Prompt, op.Node, op.Tokens, billed)
		}
	}
}

func (c *checker) checkCalls() {
	byBody := map[string][]CallOp{}
	for _, op := range c.record.Calls {
		byBody[op.Body] = append(byBody[op.Body], op)
	}
	for body, ops := range byBody {
		runs := c.callRuns[body]
		if !ops[0].Idempotent && len(runs) > 1 {
			c.report(AtMostOnce, requestsOf(runs), "call %q ran %d times", body, len(runs))
		}
		if allNotRun(ops) && len(runs) > 0 {
			c.report(NotRun, requestsOf(runs), "call %q was refused as not run (%s) but ran %d times", body, ops[0].Message, len(runs))
		}
		c.checkAnsweredCalls(body, ops, runs)
	}
}

func (c *checker) checkAnsweredCalls(body string, ops []CallOp, runs []fake.ServiceRun) {
	answered := false
	for _, op := range ops {
		if !op.OK() {
			continue
		}
		answered = true
		if op.Answer != body || len(runs) == 0 {
			c.report(WholeAnswer, requestsOf(runs), "call %q at %s received answer %q", body, op.Node, op.Answer)
		}
	}
	billed := uint64(0)
	for _, run := range runs {
		billed += c.bills[run.Request]
	}
	if answered && billed != callTokens {
		c.report(BilledOnce, requestsOf(runs), "call %q was answered but billed %d tokens instead of %d", body, billed, callTokens)
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

// lostCalls counts, by address, the plain calls that got no response and did not run.
func (c *checker) lostCalls() map[string]int {
	lost := map[string]int{}
	for _, op := range c.record.Calls {
		if op.Lost && len(c.callRuns[op.Body]) == 0 {
			lost[op.Node]++
		}
	}
	return lost
}

// mayHaveRun implements the exception in docs/operators/billing-rules.md for a plain call
// that was open when its node died: a plain service cannot be asked whether the call ran, so
// it is billed at its declared cost. Each such bill needs a killed node and a call lost
// there.
func (c *checker) mayHaveRun(request string, billed uint64, lost map[string]int) bool {
	id, ok := budget.ParseRequestID(request)
	address, killed := c.record.Killed[id.Incarnation]
	if !ok || !killed || billed != callTokens || lost[address] == 0 {
		return false
	}
	lost[address]--
	return true
}

// billsIncludingParts adds what peers were billed for parts of a request to that request.
func (c *checker) billsIncludingParts() map[string]uint64 {
	requestOf := map[string]string{}
	for _, part := range c.record.Parts {
		requestOf[part.Part] = part.Request
	}
	bills := map[string]uint64{}
	for request, b := range c.replay.bills {
		if owner := requestOf[request]; owner != "" {
			request = owner
		}
		bills[request] += b.tokens
	}
	return bills
}

// checkUnjustifiedBills checks that every billed request ran and produced at least as many
// tokens as it was billed, and that a failed request costs nothing.
func (c *checker) checkUnjustifiedBills() {
	produced := map[string]uint64{}
	for _, run := range c.record.EngineRuns {
		produced[run.Request] = max(produced[run.Request], run.PromptTokens+run.Produced)
	}
	for _, run := range c.record.ServiceRuns {
		produced[run.Request] = callTokens
	}
	lost := c.lostCalls()
	for request, billed := range c.bills {
		if billed > produced[request] && !c.mayHaveRun(request, billed, lost) {
			c.report(BilledOnce, []string{request}, "request %s was billed %d tokens but upstreams produced %d", request, billed, produced[request])
		}
	}
	for _, op := range c.record.Chats {
		failed := !op.OK() && !op.Lost && op.Code != result.CallerGone
		if billed := c.bills[op.Request]; failed && billed > 0 && op.Request != "" {
			c.report(BilledOnce, []string{op.Request}, "chat %q failed with %s but was billed %d tokens", op.Prompt, op.Code, billed)
		}
	}
}

// checkSpendRights checks that no request reached an upstream after its incarnation's right
// to spend had ended: its tokens may belong to another node by then.
func (c *checker) checkSpendRights() {
	for _, run := range c.record.EngineRuns {
		c.checkSpendRight(run.Request, run.Start)
	}
	for _, run := range c.record.ServiceRuns {
		c.checkSpendRight(run.Request, run.At)
	}
}

func (c *checker) checkSpendRight(request string, at time.Time) {
	id, ok := budget.ParseRequestID(request)
	if ok && !c.replay.heldSpendRight(id.Incarnation, at) {
		c.report(SpendRight, []string{request}, "request %s reached an upstream at %s, after its incarnation's right to spend had ended", request, at.Sub(c.record.Began))
	}
}

// checkLedgers compares every node's ledger with the replay at the same offset.
func (c *checker) checkLedgers() {
	for _, final := range c.record.Finals {
		want, known := c.replay.lines[final.Offset]
		if !known {
			continue
		}
		if !reflect.DeepEqual(totalsByBudget(want), totalsByBudget(final.Lines)) {
			c.report(BilledOnce, []string{final.Incarnation}, "ledger of %s (%s) differs from the log at offset %d: got %s, want %s",
				final.Node, final.Incarnation, final.Offset, formatLines(final.Lines), formatLines(want))
		}
	}
}

// lineTotals holds the values of a ledger line that must agree between nodes.
type lineTotals struct{ prepaid, spent, pool uint64 }

func totalsByBudget(lines []budget.Line) map[string]lineTotals {
	m := map[string]lineTotals{}
	for _, line := range lines {
		m[line.Budget] = lineTotals{line.Prepaid, line.Spent, line.Pool}
	}
	return m
}

func formatLines(lines []budget.Line) string {
	text := ""
	for _, line := range lines {
		text += fmt.Sprintf("[%s prepaid %d spent %d pool %d]", line.Budget, line.Prepaid, line.Spent, line.Pool)
	}
	return text
}

// checkConfiguration checks that no node reverts to an older version and that all nodes end
// at the state in the log.
func (c *checker) checkConfiguration() {
	last := map[string]ConfigRead{}
	for _, read := range c.record.ConfigReads {
		previous, known := last[read.Node]
		if known && previous.Serving && read.Serving && read.Version < previous.Version {
			c.report(ConfigNeverReverts, []string{read.Incarnation}, "%s reverted from configuration version %d to %d at %s", read.Node, previous.Version, read.Version, read.At)
		}
		if !known || read.Serving {
			last[read.Node] = read
		}
	}
	want := resourceUnderTest(c.replay.config.View()).GetVersion()
	for _, final := range c.record.Finals {
		if final.Serving && final.Version != want {
			c.report(ConfigNeverReverts, []string{final.Incarnation}, "%s ends with configuration version %d in force, want %d as in the log", final.Node, final.Version, want)
		}
	}
	for _, op := range c.record.Configs {
		if op.OK() && op.Version > want {
			c.report(ConfigNeverReverts, nil, "change to %d was accepted as version %d but is lost", op.Value, op.Version)
		}
	}
}

// checkOrders checks that no engine accepts an order of a former lease holder after one of
// its successor: fencing numbers never decrease.
func (c *checker) checkOrders() {
	highest := map[string]uint64{}
	for _, order := range c.record.Orders {
		if order.Accepted && order.Fencing < highest[order.Upstream] {
			c.report(OneHolder, []string{order.Upstream}, "%s accepted an order of %s with fencing number %d after one with %d at %s",
				order.Upstream, order.Node, order.Fencing, highest[order.Upstream], order.At.Sub(c.record.Began))
		}
		highest[order.Upstream] = max(highest[order.Upstream], order.Fencing)
	}
}

// checkDrains looks for responses that a planned stop interrupted. Engines that cut
// responses, network cuts and pauses interrupt them too; alongside one of those, only a
// request lost with the stopping process itself is attributed to the stop.
func (c *checker) checkDrains() {
	for _, drain := range c.record.Drains {
		if !drain.Ended {
			continue
		}
		for _, op := range c.record.Chats {
			during := op.Node == drain.Node && op.Call < drain.Return && op.Return >= drain.Call
			if during && (op.nodeDied() || drain.Alone && !op.OK() && !op.NotRun()) {
				c.report(GracefulStop, []string{op.Request}, "chat %q at %s was interrupted by a planned stop: %s", op.Prompt, op.Node, op.Message)
			}
		}
	}
}

func (c *checker) checkRecovery() {
	for _, node := range c.record.Stuck {
		c.report(Recovers, nil, "%s did not resume serving", node)
	}
	for _, final := range c.record.Finals {
		if final.Serving && !final.Probe.OK() {
			c.report(Recovers, []string{final.Incarnation}, "%s failed the final probe request: %s", final.Node, final.Probe.Message)
		}
	}
}
