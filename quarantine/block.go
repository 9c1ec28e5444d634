package quarantine

import "time"

const (
	// firstTrial is how long after the last crash under a blocked part one request with it is let through, to learn whether
	// upstreams still crash; trialFactor times as long after each trial that crashed one, up to maxTrialPause.
	firstTrial    = 10 * time.Minute
	trialFactor   = 6
	maxTrialPause = 6 * time.Hour
)

// Block is what the nodes agree on about one part: whether requests with it are refused.
type Block struct {
	Part ID `json:"p"`
	// Name and Model are the part's, for operators.
	Name  string `json:"n"`
	Model string `json:"m,omitempty"`
	// Blocked is false if the part was lifted.
	Blocked bool `json:"b"`
	// Account is the only client account whose requests are refused; empty if those of all are. The requests of one account
	// alone can't have the part blocked for others.
	Account string `json:"a,omitempty"`
	// Version rises with each change; the higher one holds.
	Version uint64 `json:"v"`
	// Trials counts the requests that were let through since it was blocked and crashed an upstream.
	Trials int `json:"t,omitempty"`
	// AgoMs is how long ago the last upstream crashed under the part, in milliseconds.
	AgoMs int64 `json:"g,omitempty"`
	// By is who lifted it; empty for a node.
	By string `json:"y,omitempty"`

	// at is the last crash on this node's clock, trialAt when a trial was let through, zero if none runs.
	at, trialAt time.Duration
	// repeatedAt is when a node that hadn't heard of the block was last told again.
	repeatedAt time.Duration
}

// outdates reports whether the block holds instead of another one.
func (b *Block) outdates(other *Block) bool {
	if other == nil || b.Version != other.Version {
		return other == nil || b.Version > other.Version
	}
	return b.Blocked && !other.Blocked || b.Blocked && b.Account == "" && other.Account != ""
}

// refuses reports whether requests of an account are refused.
func (b *Block) refuses(account string) bool {
	return b.Blocked && (b.Account == "" || b.Account == account)
}

// trialDue returns when a trial is due.
func (b *Block) trialDue() time.Duration {
	pause := firstTrial
	for range b.Trials {
		pause = min(maxTrialPause, pause*trialFactor)
	}
	return b.at + pause
}

// TrialNode returns the one of some nodes that lets trials of a part through; every node works it out alike.
func TrialNode(part ID, nodes []string) string {
	chosen, highest := "", ID(0)
	for _, node := range nodes {
		if weight := NewID(part.String(), node); weight > highest {
			chosen, highest = node, weight
		}
	}
	return chosen
}
