package check

import "time"

const (
	// outageDetectionLimit is how long a node may take to detect that an engine is dead:
	// the time in which three requests to it fail.
	outageDetectionLimit = 10 * time.Second
	// maxDeadEngineProbes is how many requests a node may then risk on a dead engine to
	// learn whether it is back: the pauses of its circuit breaker start at two seconds and
	// double.
	maxDeadEngineProbes = 6
)

// checkEngineOutages checks that the death of an engine alone loses no response and that
// nodes stop sending work to it. A node's view of the engine's cache outlives the engine and
// would attract requests for minutes, each of which would wait for a retry.
func (c *checker) checkEngineOutages() {
	if !c.record.EngineDiedAlone {
		return
	}
	for _, op := range c.record.Chats {
		if !op.OK() && !op.NotRun() && !op.nodeDied() {
			c.report(WholeAnswer, []string{op.Request}, "chat %q at %s was lost although only an engine died: %s %s", op.Prompt, op.Node, op.Code, op.Message)
		}
	}
	for _, outage := range c.record.EngineOutages {
		sent := map[string]int{}
		for _, a := range c.record.Attempts {
			late := a.At.Sub(outage.From) > outageDetectionLimit && (outage.Until.IsZero() || a.At.Before(outage.Until))
			if a.Upstream == outage.Upstream && late {
				sent[a.Node]++
			}
		}
		for node, count := range sent {
			if count > maxDeadEngineProbes {
				c.report(NoWorkForDeadEngine, []string{outage.Upstream}, "%s sent %d requests to dead engine %s more than %s after its death", node, count, outage.Upstream, outageDetectionLimit)
			}
		}
	}
}
