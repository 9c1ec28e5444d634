package reach

// DirectSuffices reports whether callers are sent only to the nodes that have paths of their own, given
// their capacity and that of all. With less than half of it they would be overloaded, while the others
// can serve through them.
func DirectSuffices(direct, all int) bool { return 2*direct >= all }
