// Package keyedlog follows compacted topics: logs that retain the newest record of each
// key indefinitely.
//
// A Follower starts from the newest records and reads on from there. When its next offset
// is no longer retained, it starts again from the newest records; no update is lost, since
// each record replaces the previous one of its key.
package keyedlog
