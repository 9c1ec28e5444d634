package lease

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Snapshot implements fold.Part.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return json.Marshal(t.leases)
}

// Restore implements fold.Part.
func (t *Table) Restore(data []byte) error {
	leases := map[string]State{}
	if err := json.Unmarshal(data, &leases); err != nil {
		return errors.Annotate(err, "lease snapshot")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leases = leases
	return nil
}
