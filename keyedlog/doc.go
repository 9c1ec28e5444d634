// Package keyedlog follows topics of a log that keep the newest record of each key for
// ever.
//
// A Follower starts from the newest records and reads on from there. When the log has
// forgotten what it would read next, it starts again from the newest records; nothing
// is lost, since each record replaces the key's one before.
package keyedlog
