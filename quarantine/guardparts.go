package quarantine

import (
	"math/rand/v2"
	"time"

	"lavenderpin.dev/lavenderpin/event"
)

// Refused returns the block that refuses an account's request with some parts; nil if it may be sent. It sets trial if the
// request is let through once although it has a blocked part.
func (g *Guard) Refused(partIDs []ID, account string, trial *bool) *Block {
	if g == nil || *trial {
		return nil
	}
	b := g.parts.refused(partIDs, account)
	if b == nil {
		return nil
	}
	if now := g.clock.Now(); now >= b.trialDue() && g.IsTrialNode != nil && g.IsTrialNode(b.Part) && g.parts.takeTrial(b.Part, now) {
		g.events.Record(event.PartBlocked, "part", b.Name, "model", b.Model, "trial", b.Trials+1)
		*trial = true
		return nil
	}
	return b
}

// MaySendAgain reports whether a request with some parts may be sent a second time after an upstream crashed under it. Of those that
// ran beside each other, one may crash the next upstream as well.
func (g *Guard) MaySendAgain(partIDs []ID) bool {
	return g == nil || g.parts.maySendAgain(partIDs, g.clock.Now())
}

// AnswerBegun records that an answer to a request with some parts began.
func (g *Guard) AnswerBegun(partIDs []ID) {
	if g == nil || len(partIDs) == 0 {
		return
	}
	cleared, lifted := g.parts.begun(partIDs, g.clock.Now())
	if len(cleared) == 0 && len(lifted) == 0 {
		return
	}
	g.recordBlocks(lifted, g.node)
	g.wakeStore(lifted)
	g.publishBegun(cleared, lifted)
}

// maxBegunDelay spreads over time the news that an answer began with a suspected part: of nodes that all saw one, most
// have heard of it by then and tell nothing.
const maxBegunDelay = 300 * time.Millisecond

// maxBlockDelay spreads over time what nodes conclude from others' news: all that have heard the same conclude the same,
// and the node under whose request the last upstream crashed tells at once.
const maxBlockDelay = time.Second

func (g *Guard) publishUnlessHeard(blocks []Block) {
	since := g.clock.Now()
	time.AfterFunc(rand.N(maxBlockDelay), func() {
		if blocks = g.parts.unheard(blocks, since); len(blocks) > 0 {
			g.publish(News{Node: g.node, Blocks: blocks})
		}
	})
}

func (g *Guard) publishBegun(cleared []ID, lifted []Block) {
	if len(lifted) > 0 {
		g.publish(News{Node: g.node, Begun: cleared, Blocks: lifted})
		return
	}
	at := g.clock.Now()
	time.AfterFunc(rand.N(maxBegunDelay), func() {
		if cleared = g.parts.untold(cleared, at); len(cleared) > 0 {
			g.publish(News{Node: g.node, Begun: cleared, BegunAgoMs: (g.clock.Now() - at).Milliseconds()})
		}
	})
}

// Lift lets requests with a part be sent again. It reports whether the part was blocked.
func (g *Guard) Lift(name, by string) bool {
	lifted := g.parts.liftNamed(name, by)
	if len(lifted) == 0 {
		return false
	}
	g.recordBlocks(lifted, by)
	g.wakeStore(lifted)
	g.publish(News{Node: g.node, Blocks: lifted})
	return true
}

// Blocks returns the blocks in force.
func (g *Guard) Blocks() []Block {
	if g == nil {
		return nil
	}
	return g.parts.list(g.clock.Now())
}

// LearnBlock records what the store says of a part.
func (g *Guard) LearnBlock(b Block, from string) {
	if g.parts.learn(b, g.clock.Now()) {
		g.recordBlocks([]Block{b}, from)
	}
}

// wakeStore has blocks that this node changed written to the store.
func (g *Guard) wakeStore(changed []Block) {
	if len(changed) == 0 {
		return
	}
	select {
	case g.blocksChanged <- struct{}{}:
	default:
	}
}

func (g *Guard) recordBlocks(changed []Block, from string) {
	for _, b := range changed {
		number := event.PartBlocked
		if !b.Blocked {
			number = event.PartLifted
		}
		g.events.Record(number, "part", b.Name, "model", b.Model, "account", b.Account, "version", b.Version, "from", from, "by", b.By)
	}
}
