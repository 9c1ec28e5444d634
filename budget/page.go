package budget

import "slices"

// Page returns copies of the first limit budgets with names greater than after, sorted by name,
// and the name from which to continue, which is empty on the last page.
func (l *Ledger) Page(after string, limit int) (lines []Line, next string) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var names []string
	for name := range l.lines {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if len(names) > limit {
		names = names[:limit]
		next = names[limit-1]
	}
	for _, name := range names {
		lines = append(lines, l.lines[name].clone())
	}
	return lines, next
}
