package budget

import "slices"

// Page returns a copy of the first limit budgets behind the name after, sorted by
// name, and the name to continue behind; that is empty at the end.
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
