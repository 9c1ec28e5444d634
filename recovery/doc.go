// Package recovery settles the requests of dead nodes and releases their budget shares.
//
// Watcher closes an incarnation once its right to spend has certainly expired.
// Recoverer then collects from the other nodes what they know of its requests, queries
// the engines about those that weren't finished, settles all of them in the log and
// releases what is left of the shares.
package recovery
