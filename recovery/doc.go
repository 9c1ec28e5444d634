// Package recovery brings back what a dead node held.
//
// Watcher closes an incarnation once its right to spend has surely run out.
// Recoverer then collects from the other nodes what they were told of its requests,
// asks the engines about those that weren't finished, settles all of them in the
// log and releases what is left of the shares.
package recovery
