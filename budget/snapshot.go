package budget

import (
	"encoding/json"

	"github.com/juju/errors"
)

// savedLedger is the snapshot format of Ledger.
type savedLedger struct {
	Lines        map[string]*Line
	Incarnations map[string]*Incarnation
	TopUps       map[string]foldedTopUp
	Excess       uint64
}

// Snapshot implements fold.Part.
func (l *Ledger) Snapshot() ([]byte, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return json.Marshal(savedLedger{l.lines, l.incarnations, l.topUps, l.excess})
}

// Restore implements fold.Part.
func (l *Ledger) Restore(data []byte) error {
	var saved savedLedger
	if err := json.Unmarshal(data, &saved); err != nil {
		return errors.Annotate(err, "ledger snapshot")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
	for name, line := range saved.Lines {
		l.lines[name] = line
	}
	for id, i := range saved.Incarnations {
		l.incarnations[id] = i
	}
	for key, topUp := range saved.TopUps {
		l.topUps[key] = topUp
	}
	l.excess = saved.Excess
	return nil
}
