package soak

import "time"

// span is an executed step with the times at which it began and ended. inForce is when it had taken effect on
// everything that it affects: a cut is made connection by connection.
type span struct {
	Step
	begin, inForce, end time.Time
}

// overlaps reports whether the span overlaps the interval.
func (s *span) overlaps(from, to time.Time) bool { return s.begin.Before(to) && s.end.After(from) }

// endsNode reports whether the step ends a node's process.
func (s *span) endsNode(node int) bool {
	switch s.Kind {
	case KillAll:
		return true
	case KillNode, StopNode:
		return s.Target == node
	default:
		return false
	}
}

// disturbsNode reports whether the step stops a node or impairs its access to the store.
func (s *span) disturbsNode(node int) bool {
	switch s.Kind {
	case StoreUnavailable, StoreDropsResponses:
		return true
	case PauseNode, StarveNode, NodeStoreSilent, NodeStoreDropsResponses, NodeStoreSlow:
		return s.Target == node
	default:
		return s.endsNode(node)
	}
}

// stopsProcess reports whether the step kills or pauses a node's process.
func (s *span) stopsProcess(node int) bool {
	switch s.Kind {
	case KillAll:
		return true
	case KillNode, PauseNode:
		return s.Target == node
	default:
		return false
	}
}

// cutsUpstreams reports whether the step cuts a node from all upstreams.
func (s *span) cutsUpstreams(node int) bool {
	return (s.Kind == NodeUpstreamsSilent || s.Kind == NodeUpstreamsReset) && s.Target == node
}

// losesResponses reports whether the step loses responses that an upstream sends.
func (s *span) losesResponses(upstream int) bool {
	return (s.Kind == UpstreamReset || s.Kind == UpstreamSilent || s.Kind == UpstreamChangesVersion || s.Kind == UpstreamCrashes || s.Kind == RequestsCrashUpstream || s.Kind == UpstreamRestartsCold) && s.Target == upstream
}

// failsRequests reports whether the step makes its upstream fail requests.
func (s *span) failsRequests() bool {
	switch s.Kind {
	case UpstreamReset, UpstreamSilent, UpstreamCutsStreams, UpstreamFails, UpstreamSheds, UpstreamChangesVersion, UpstreamCrashes, RequestsCrashUpstream, UpstreamRestartsCold, UpstreamSpoilsStreams:
		return true
	default:
		return false
	}
}
