package fake

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/record"
)

// Step is a place in a node's work at which a fault can be made to strike.
type Step string

// The steps. Each names the moment right before the act, except StepAppended,
// which lies between an append's effect and its answer.
const (
	StepReserve     Step = "reserve"
	StepDispatch    Step = "dispatch"
	StepMidStream   Step = "mid-stream"
	StepLastToken   Step = "last token"
	StepCall        Step = "plain call"
	StepSettlement  Step = "settlement"
	StepAppended    Step = "append"
	StepShareClaim  Step = "share claim"
	StepShareMove   Step = "share move"
	StepCallClaim   Step = "call claim"
	StepConfig      Step = "config change"
	StepLease       Step = "lease takeover"
	StepOrder       Step = "engine order"
	StepDrain       Step = "drain"
	StepRecovery    Step = "recovery"
	StepSnapshot    Step = "snapshot"
	StepPeerReserve Step = "peer reserve"
	StepWitness     Step = "witness"
	// StepCacheEvent is a node reading cache events, StepCacheGap one reading them
	// with an event missing between. No fault strikes there.
	StepCacheEvent Step = "cache event"
	StepCacheGap   Step = "gap in cache events"
)

// StepHook is told of each step that a node is about to take. It may cut, pause or
// kill before the step goes on.
type StepHook func(step Step, node string)

// stepsOf returns the steps that appending a record takes.
func stepsOf(data []byte) []Step {
	var steps []Step
	seen := map[Step]bool{}
	batches, _ := record.Decode(data)
	for _, batch := range batches {
		for _, entry := range batch.GetEntries() {
			step, known := stepOf(entry)
			if known && !seen[step] {
				seen[step] = true
				steps = append(steps, step)
			}
		}
	}
	return steps
}

func stepOf(entry *recordv1.Entry) (Step, bool) {
	switch entry.GetBody().(type) {
	case *recordv1.Entry_Settlements:
		return StepSettlement, true
	case *recordv1.Entry_ShareClaim:
		return StepShareClaim, true
	case *recordv1.Entry_ShareMove:
		return StepShareMove, true
	case *recordv1.Entry_CallClaim:
		return StepCallClaim, true
	case *recordv1.Entry_Config:
		return StepConfig, true
	case *recordv1.Entry_LeaseClaim:
		return StepLease, true
	case *recordv1.Entry_RecoveryDone:
		return StepRecovery, true
	case *recordv1.Entry_Snapshot:
		return StepSnapshot, true
	}
	return "", false
}
