package budget

import "sync"

// demandTable counts tokens that requests wanted and the own share lacked, by budget.
type demandTable struct {
	mu    sync.Mutex
	lacks map[string]uint64
}

func (d *demandTable) short(budget string, tokens uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lacks == nil {
		d.lacks = map[string]uint64{}
	}
	d.lacks[budget] += tokens
}

// take returns and clears what was lacking.
func (d *demandTable) take() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	lacks := d.lacks
	d.lacks = nil
	return lacks
}
