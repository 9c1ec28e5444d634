package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// starvePeriod and starvedRun are how long a starved node's process runs in each period: a fifth of a core, as the
	// smallest instances have.
	starvePeriod = 100 * time.Millisecond
	starvedRun   = 20 * time.Millisecond
	// minStarveDuration is how long a node is starved at least: longer than the time-out of its requests.
	minStarveDuration = 4 * time.Second
)

// starvedNodes returns, for half of the seeds, one or two nodes that get a fifth of a processor for some seconds. It has
// numbers of its own, so that other steps don't depend on it.
func starvedNodes(r *rand.Rand, length time.Duration, nodes int) []Step {
	if r.IntN(2) == 0 {
		return nil
	}
	s := Step{Kind: StarveNode, At: time.Duration(r.Int64N(int64(length))), Duration: minStarveDuration + time.Duration(r.Int64N(int64(maxFaultDuration))), Target: r.IntN(nodes)}
	steps := []Step{s}
	if r.IntN(2) == 0 {
		s.Target = (s.Target + 1) % nodes
		steps = append(steps, s)
	}
	return steps
}

// starve lets a node's process run for a part of each period only.
func (n *node) starve(duration time.Duration) {
	defer n.signal(syscall.SIGCONT)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		n.signal(syscall.SIGSTOP)
		time.Sleep(starvePeriod - starvedRun)
		n.signal(syscall.SIGCONT)
		time.Sleep(starvedRun)
	}
}
