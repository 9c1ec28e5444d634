// Package peerfetch lets the nodes of a data centre fetch the records of a keyed topic from
// each other, so that a large record crosses the link to the store a few times instead of
// once a node.
//
// Of each data centre the node that ranks first follows the store itself. The others ask the
// store only where its log ends, and fetch what is new from the first two. Each node thus
// knows from the store itself whether it is up to date, and no peer can keep it behind: what
// no peer has soon enough, it reads from the store.
package peerfetch
