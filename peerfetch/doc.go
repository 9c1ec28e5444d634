// Package peerfetch lets the nodes of a data centre fetch the records of a keyed topic from each
// other, so that a large record crosses the link to the store a few times instead of once per
// node.
//
// In each data centre the node ranked first follows the store itself. The others ask the store
// only for the end of the log, and fetch new records from the first two. Thus each node knows
// from the store itself whether it is up to date, and no peer can keep it behind: whatever no
// peer provides soon enough, it reads from the store.
package peerfetch
