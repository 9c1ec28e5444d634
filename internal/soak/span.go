package soak

import "time"

// span is a step as it was played.
type span struct {
	Step
	begin, end time.Time
}

// touches tells whether a span overlaps a time.
func (s *span) touches(from, to time.Time) bool { return s.begin.Before(to) && s.end.After(from) }

// ends tells whether the step ends a node's process.
func (s *span) ends(node int) bool {
	switch s.Kind {
	case KillAll:
		return true
	case KillNode, StopNode:
		return s.Target == node
	default:
		return false
	}
}

// harms tells whether the step keeps a node from working or from the store.
func (s *span) harms(node int) bool {
	switch s.Kind {
	case StoreUnavailable, StoreDropsResponses:
		return true
	case PauseNode, NodeStoreSilent, NodeStoreDropsResponses, NodeStoreSlow:
		return s.Target == node
	default:
		return s.ends(node)
	}
}

// spoils tells whether the step lets upstreams fail requests.
func (s *span) spoils() bool {
	switch s.Kind {
	case UpstreamReset, UpstreamSilent, UpstreamCutsStreams, UpstreamFails, UpstreamSheds:
		return true
	default:
		return false
	}
}
