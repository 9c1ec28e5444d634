// Package processlag measures how long what a process could do waits for a processor. On an instance with a
// small fraction of a core that is most of the time that requests take when too many arrive. Timers don't show
// it: the runtime runs what they wake ahead of what waits.
package processlag
