package directory

// SetEvacuated replaces the set of evacuated data centres, whose upstreams get no requests. Requests that they work on
// go on. It returns the data centres that were added to the set and those that were removed.
//
// An upstream without requests becomes cold, which its entry may tell later than the operators' record is removed.
// So the upstreams of a data centre that is used again are taken for cold.
func (t *Table) SetEvacuated(dataCentres map[string]bool) (added, removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range dataCentres {
		if !t.evacuated[name] {
			added = append(added, name)
		}
	}
	for name := range t.evacuated {
		if !dataCentres[name] {
			removed = append(removed, name)
			t.coolAll(name)
		}
	}
	if len(added)+len(removed) > 0 {
		t.evacuated = dataCentres
		t.publish()
	}
	return added, removed
}

// coolAll takes the upstreams of a data centre for cold. The caller must hold mu.
func (t *Table) coolAll(dataCentre string) {
	if t.Warmup == nil {
		return
	}
	for _, u := range t.entries {
		if u.DataCentre == dataCentre {
			duration, _ := t.Warmup.Warmup(u.Service)
			t.cool(u, duration)
			t.beginRamp(u)
		}
	}
}

// Evacuated returns the number of evacuated data centres.
func (t *Table) Evacuated() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.evacuated)
}
