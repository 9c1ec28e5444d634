package config

import (
	"fmt"
	"sync/atomic"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// rememberedChanges bounds how many change ids are kept to make Apply idempotent:
// three days of changes at the size designed for.
const rememberedChanges = 10_000

// State is the folded configuration. One goroutine applies; View is safe for all.
type State struct {
	verdicts map[string]fold.Verdict
	order    []string
	view     atomic.Pointer[View]
	notify   func(*operatorv1.VersionedResource)
}

// NewState returns an empty configuration. notify, when not nil, is called in
// the folding goroutine for each resource that takes effect.
func NewState(notify func(*operatorv1.VersionedResource)) *State {
	s := &State{notify: notify}
	s.reset()
	return s
}

func (s *State) reset() {
	s.verdicts = map[string]fold.Verdict{}
	s.order = nil
	s.view.Store(emptyView())
}

// View returns the configuration in force. It never changes once returned.
func (s *State) View() *View { return s.view.Load() }

// Name implements fold.Part.
func (s *State) Name() string { return "config" }

// Apply implements fold.Part for configuration changes.
func (s *State) Apply(at fold.Position, entry *recordv1.Entry) (fold.Verdict, bool) {
	change := entry.GetConfig()
	if change == nil {
		return fold.Verdict{}, false
	}
	if verdict, seen := s.verdicts[change.GetChangeId()]; seen {
		return verdict, true
	}
	verdict := s.decide(at, change)
	s.remember(change.GetChangeId(), verdict)
	return verdict, true
}

// decide makes all changes or none, so that an operator's file never takes
// effect by half.
func (s *State) decide(at fold.Position, change *recordv1.ConfigChange) fold.Verdict {
	for _, c := range change.GetChanges() {
		if verdict := s.check(at, c); !verdict.OK() {
			return verdict
		}
	}
	next, conflict := s.View().edit(at.Offset, change.GetChanges())
	if conflict != "" {
		return fold.Refuse(at, result.InvalidResource, conflict)
	}
	s.view.Store(next)
	s.tell(at, change.GetChanges())
	return fold.Verdict{Offset: at.Offset, Version: at.Offset}
}

func (s *State) check(at fold.Position, c *operatorv1.Change) fold.Verdict {
	key, ok := KeyOf(c.GetResource())
	if !ok || key.Name == "" {
		return fold.Refuse(at, result.InvalidResource, "a change names no resource")
	}
	current := s.currentVersion(key)
	if !c.GetAnyVersion() && c.GetBaseVersion() != current {
		verdict := fold.Refuse(at, result.VersionConflict,
			fmt.Sprintf("%s is at version %d, the change was made against %d", key, current, c.GetBaseVersion()))
		verdict.Version = current
		return verdict
	}
	return fold.Accept(at)
}

// currentVersion is 0 for a resource that doesn't exist.
func (s *State) currentVersion(key Key) uint64 {
	held, _ := s.View().resources.Get(key.String())
	return held.version
}

func (s *State) tell(at fold.Position, changes []*operatorv1.Change) {
	if s.notify == nil {
		return
	}
	for _, c := range changes {
		s.notify(&operatorv1.VersionedResource{Version: at.Offset, Resource: c.GetResource(), Deleted: c.GetDelete()})
	}
}

func (s *State) remember(id string, verdict fold.Verdict) {
	if id == "" {
		return
	}
	s.verdicts[id] = verdict
	s.order = append(s.order, id)
	if len(s.order) > rememberedChanges {
		delete(s.verdicts, s.order[0])
		s.order = s.order[1:]
	}
}
