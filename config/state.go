package config

import (
	"fmt"
	"sync/atomic"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// maxVerdicts is the number of change IDs whose verdicts are kept to make Apply
// idempotent: three days of changes at the design size.
const maxVerdicts = 10_000

// State is the folded configuration. Only one goroutine may call Apply; View is safe for
// concurrent use.
type State struct {
	verdicts     map[string]fold.Verdict
	verdictOrder []string
	view         atomic.Pointer[View]
	notify       func(*operatorv1.VersionedResource)
}

// NewState returns an empty configuration. notify, if not nil, is called in the goroutine
// that calls Apply for each changed resource.
func NewState(notify func(*operatorv1.VersionedResource)) *State {
	s := &State{notify: notify}
	s.reset()
	return s
}

func (s *State) reset() {
	s.verdicts = map[string]fold.Verdict{}
	s.verdictOrder = nil
	s.view.Store(emptyView())
}

// View returns the current configuration. The returned view is immutable.
func (s *State) View() *View { return s.view.Load() }

// Name implements fold.Part.
func (s *State) Name() string { return "config" }

// Apply implements fold.Part for configuration changes.
func (s *State) Apply(pos fold.Position, entry *recordv1.Entry) (fold.Verdict, bool) {
	change := entry.GetConfig()
	if change == nil {
		return fold.Verdict{}, false
	}
	if verdict, seen := s.verdicts[change.GetChangeId()]; seen {
		return verdict, true
	}
	verdict := s.applyChanges(pos, change)
	s.storeVerdict(change.GetChangeId(), verdict)
	return verdict, true
}

// applyChanges applies all changes or none, so that an operator's file never takes effect
// partially.
func (s *State) applyChanges(pos fold.Position, change *recordv1.ConfigChange) fold.Verdict {
	for _, c := range change.GetChanges() {
		if verdict := s.checkVersion(pos, c); !verdict.OK() {
			return verdict
		}
	}
	next, conflict := s.View().withChanges(pos.Offset, change.GetChanges())
	if conflict != "" {
		return fold.Refuse(pos, result.InvalidResource, conflict)
	}
	s.view.Store(next)
	s.notifyChanges(pos, change.GetChanges())
	return fold.Verdict{Offset: pos.Offset, Version: pos.Offset}
}

func (s *State) checkVersion(pos fold.Position, c *operatorv1.Change) fold.Verdict {
	key, ok := KeyOf(c.GetResource())
	if !ok || key.Name == "" {
		return fold.Refuse(pos, result.InvalidResource, "a change names no resource")
	}
	current := s.currentVersion(key)
	if !c.GetAnyVersion() && c.GetBaseVersion() != current {
		verdict := fold.Refuse(pos, result.VersionConflict,
			fmt.Sprintf("%s is at version %d, the change was made against %d", key, current, c.GetBaseVersion()))
		verdict.Version = current
		return verdict
	}
	return fold.Accept(pos)
}

// currentVersion returns the version of a resource, or 0 if it doesn't exist.
func (s *State) currentVersion(key Key) uint64 {
	stored, _ := s.View().resources.Get(key.String())
	return stored.version
}

func (s *State) notifyChanges(pos fold.Position, changes []*operatorv1.Change) {
	if s.notify == nil {
		return
	}
	for _, c := range changes {
		s.notify(&operatorv1.VersionedResource{Version: pos.Offset, Resource: c.GetResource(), Deleted: c.GetDelete()})
	}
}

func (s *State) storeVerdict(id string, verdict fold.Verdict) {
	if id == "" {
		return
	}
	s.verdicts[id] = verdict
	s.verdictOrder = append(s.verdictOrder, id)
	if len(s.verdictOrder) > maxVerdicts {
		delete(s.verdicts, s.verdictOrder[0])
		s.verdictOrder = s.verdictOrder[1:]
	}
}
