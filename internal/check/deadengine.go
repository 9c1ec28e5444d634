package check

import "time"

const (
	// deathNoticed is how long a node may take to find out that an engine is gone: as
	// long as it takes three requests to fail there.
	deathNoticed = 10 * time.Second
	// deadProbes is how many requests a node may risk on a dead engine afterwards, to
	// learn whether it is back: the pauses of its breaker double from two seconds on.
	deadProbes = 6
)

// engineDeaths checks that an engine's death, alone, costs no answer, and that nodes
// stop sending work there. What a node believes of the engine's cache outlives it and
// would draw requests for minutes: each would wait for a retry.
func (j *judge) engineDeaths() {
	if !j.record.EngineDiedAlone {
		return
	}
	for _, op := range j.record.Chats {
		if !op.OK() && !op.NotRun() && !op.died() {
			j.fault(WholeAnswer, []string{op.Request}, "chat %q at %s was lost beside the death of an engine: %s %s", op.Prompt, op.Node, op.Code, op.Message)
		}
	}
	for _, death := range j.record.EngineDeaths {
		sent := map[string]int{}
		for _, a := range j.record.Attempts {
			late := a.At.Sub(death.From) > deathNoticed && (death.Until.IsZero() || a.At.Before(death.Until))
			if a.Upstream == death.Upstream && late {
				sent[a.Node]++
			}
		}
		for node, count := range sent {
			if count > deadProbes {
				j.fault(NoWorkForDeadEngine, []string{death.Upstream}, "%s sent %d requests to %s, later than %s after its death", node, count, death.Upstream, deathNoticed)
			}
		}
	}
}
