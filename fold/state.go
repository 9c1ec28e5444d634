package fold

import (
	"github.com/juju/errors"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// ErrStaleState tells that a state is older than what is folded already.
var ErrStaleState = errors.New("the state is older than the one folded")

// State returns the whole folded state. Two engines that folded the same records
// return equal states.
func (e *Engine) State() (*recordv1.FoldState, error) {
	state := &recordv1.FoldState{Offset: e.offset, Writers: e.writers.save()}
	for _, part := range e.parts {
		data, err := part.Snapshot()
		if err != nil {
			return nil, errors.Annotatef(err, "part %s", part.Name())
		}
		state.Parts = append(state.Parts, &recordv1.PartState{Name: part.Name(), Data: data})
	}
	return state, nil
}

// Restore replaces the whole folded state. It refuses one that isn't ahead, since
// accepted configuration must never revert, and one that lacks a part: a program
// of an earlier version wrote it, and the part would restart from nothing.
func (e *Engine) Restore(state *recordv1.FoldState) error {
	if state.GetOffset() <= e.offset {
		return errors.Annotatef(ErrStaleState, "offset %d, folded up to %d", state.GetOffset(), e.offset)
	}
	saved := map[string][]byte{}
	for _, part := range state.GetParts() {
		saved[part.GetName()] = part.GetData()
	}
	for _, part := range e.parts {
		if _, held := saved[part.Name()]; !held {
			return errors.Errorf("the state lacks part %s", part.Name())
		}
	}
	before, err := e.State()
	if err != nil {
		return errors.Trace(err)
	}
	for _, part := range e.parts {
		if err := part.Restore(saved[part.Name()]); err != nil {
			return e.undo(before, errors.Annotatef(err, "part %s", part.Name()))
		}
	}
	e.offset = state.GetOffset()
	e.writers = restoreWriters(state.GetWriters())
	return nil
}

// undo puts the parts back after one of them refused its state; otherwise some
// would stand at the new offset and some at the old one.
func (e *Engine) undo(before *recordv1.FoldState, cause error) error {
	for i, part := range e.parts {
		if err := part.Restore(before.GetParts()[i].GetData()); err != nil {
			return errors.Annotatef(cause, "and part %s is lost: %v", part.Name(), err)
		}
	}
	return cause
}
