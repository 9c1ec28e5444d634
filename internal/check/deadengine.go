package check

import "time"

const (
	// engineDeathDetectionLimit is how long a node may take to detect that an engine is
	// gone: the time in which three requests to it fail.
	engineDeathDetectionLimit = 10 * time.Second
	// maxDeadEngineProbes is how many requests a node may then risk on a dead engine to
	// learn whether it is back: the pauses of its circuit breaker start at two seconds and
	// double.
	maxDeadEngineProbes = 6
)

// checkEngineDeaths checks that the death of an engine alone loses no response and that
// nodes stop sending work to it. A node's view of the engine's cache outlives the engine and
// would attract requests for minutes, each of which would wait for a retry.
func (c *checker) checkEngineDeaths() {
	if !c.record.EngineDiedAlone {
		return
	}
	for _, op := range c.record.Chats {
		if !op.OK() && !op.NotRun() && !op.nodeDied() {
			c.report(WholeAnswer, []string{op.Request}, "chat %q at %s was lost although only an engine died: %s %s", op.Prompt, op.Node, op.Code, op.Message)
		}
	}
	for _, death := range c.record.EngineOutages {
		sent := map[string]int{}
		for _, a := range c.record.Attempts {
			late := a.At.Sub(death.From) > engineDeathDetectionLimit && (death.Until.IsZero() || a.At.Before(death.Until))
			if a.Upstream == death.Upstream && late {
				sent[a.Node]++
			}
		}
		for node, count := range sent {
			if count > maxDeadEngineProbes {
				c.report(NoWorkForDeadEngine, []string{death.Upstream}, "%s sent %d requests to dead engine %s more than %s after its death", node, count, death.Upstream, engineDeathDetectionLimit)
			}
		}
	}
}
