package fold

import (
	"github.com/juju/errors"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// ErrStaleState is returned for a state that isn't ahead of the applied one.
var ErrStaleState = errors.New("state is not newer than the applied state")

// State returns the entire state of all parts. Engines that applied the same records return
// equal states.
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

// Restore replaces the entire state. It refuses a state that isn't ahead, since accepted
// configuration must never revert, and a state that lacks a part: an earlier version of the
// program wrote it, and the part would start empty.
func (e *Engine) Restore(state *recordv1.FoldState) error {
	if state.GetOffset() <= e.offset {
		return errors.Annotatef(ErrStaleState, "offset %d, applied up to offset %d", state.GetOffset(), e.offset)
	}
	saved := map[string][]byte{}
	for _, part := range state.GetParts() {
		saved[part.GetName()] = part.GetData()
	}
	for _, part := range e.parts {
		if _, found := saved[part.Name()]; !found {
			return errors.Errorf("state has no data for part %s", part.Name())
		}
	}
	previous, err := e.State()
	if err != nil {
		return errors.Trace(err)
	}
	for _, part := range e.parts {
		if err := part.Restore(saved[part.Name()]); err != nil {
			return e.rollBack(previous, errors.Annotatef(err, "part %s", part.Name()))
		}
	}
	e.offset = state.GetOffset()
	e.writers = restoreWriterTable(state.GetWriters())
	return nil
}

// rollBack restores the previous state of all parts after one of them refused its new state;
// otherwise some parts would be at the new offset and some at the old one.
func (e *Engine) rollBack(previous *recordv1.FoldState, cause error) error {
	for i, part := range e.parts {
		if err := part.Restore(previous.GetParts()[i].GetData()); err != nil {
			return errors.Annotatef(cause, "rolling back part %s failed: %v", part.Name(), err)
		}
	}
	return cause
}
