// Package appends runs the append path of a fleet (log writers, gatherers and a follower)
// over an in-memory log. It counts appends at fleet sizes for which complete nodes don't
// fit into one process, and lets tests inject a failure at each step.
package appends
