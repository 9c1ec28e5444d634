package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

// maxBlocks bounds the parts that are blocked at a time, at 300 bytes each. If so many seem to crash upstreams, the
// cause is elsewhere, and no more prompts may be refused for it.
const maxBlocks = 256

// untoldAfter is how long after the last crash under a blocked part a request with it that reached an upstream shows that
// the node which sent it hasn't heard of the block.
const untoldAfter = 2 * time.Second

// parts decides which parts of prompts are blocked. It is safe for concurrent use.
type parts struct {
	clock bootclock.Clock
	// blocked holds the blocks in force, for the request path.
	blocked atomic.Pointer[map[ID]*Block]
	// suspected is how many parts are suspected or blocked: as long as it is zero, nothing is looked up for a begun answer
	// but the time of it.
	suspected atomic.Int64

	mu       sync.Mutex
	suspects suspects
	// blocks holds the newest block of each part, lifted ones included.
	blocks map[ID]*Block
	// heard is what another node, or the store, last told of each block.
	heard map[ID]heardBlock
}

// heardBlock is the newest version of a block that others told of, and when they last did.
type heardBlock struct {
	version uint64
	at      time.Duration
}

func newParts(clock bootclock.Clock) *parts {
	p := &parts{clock: clock, suspects: newSuspects(), blocks: make(map[ID]*Block), heard: make(map[ID]heardBlock)}
	p.publish()
	return p
}

// publish makes the blocks in force visible to the request path. The caller must hold mu, or be alone.
func (p *parts) publish() {
	inForce := make(map[ID]*Block)
	for id, b := range p.blocks {
		if b.Blocked {
			copied := *b
			inForce[id] = &copied
		}
	}
	p.blocked.Store(&inForce)
}

// refused returns the block that refuses an account's request with some parts; nil if none does.
func (p *parts) refused(ids []ID, account string) *Block {
	inForce := *p.blocked.Load()
	if len(inForce) == 0 {
		return nil
	}
	for _, id := range ids {
		if b := inForce[id]; b != nil && b.refuses(account) {
			return b
		}
	}
	return nil
}

// add counts a crash against the parts of its request, and returns the blocks that it changed.
func (p *parts) add(e Crash) []Block {
	p.mu.Lock()
	defer p.mu.Unlock()
	if changed, isBlocked := p.addToBlocked(e); isBlocked {
		return changed
	}
	var overThreshold []ID
	for i, id := range e.PartIDs {
		part := Part{ID: id.String()}
		if i < len(e.Parts) {
			part = e.Parts[i]
		}
		if p.suspects.add(part, id, e) {
			overThreshold = append(overThreshold, id)
		}
	}
	p.suspected.Store(int64(len(p.suspects.byPart)))
	var changed []Block
	for _, id := range overThreshold {
		if b := p.block(id, e.At); b != nil {
			changed = append(changed, *b)
		}
	}
	p.publish()
	return changed
}

// addToBlocked handles a crash under a request with a blocked part, to which it is attributed.
func (p *parts) addToBlocked(e Crash) (changed []Block, isBlocked bool) {
	for _, id := range e.PartIDs {
		b := p.blocks[id]
		if b == nil || !b.Blocked {
			continue
		}
		isBlocked = true
		p.suspects.attribute(e.Upstream, e.At)
		updated := *b
		updated.at = max(b.at, e.At)
		if b.trialAt != 0 && e.SentAt >= b.trialAt {
			updated.Trials++
			updated.Version++
			updated.trialAt = 0
		}
		if !b.refuses(e.Account) { // the requests of a second account crash upstreams, too
			updated.Account = ""
			updated.Version++
		}
		if e.SentAt-b.at > untoldAfter && e.At-b.repeatedAt > untoldAfter { // its node doesn't know
			updated.repeatedAt = e.At
			changed = append(changed, updated)
		} else if updated.Version != b.Version {
			changed = append(changed, updated)
		}
		p.blocks[id] = &updated
	}
	if len(changed) > 0 {
		p.publish()
	}
	return changed, isBlocked
}

// block blocks a suspected part; it returns nil if there are too many blocks. The caller must hold mu.
func (p *parts) block(id ID, at time.Duration) *Block {
	known := p.suspects.byPart[id]
	if known == nil || len(*p.blocked.Load()) >= maxBlocks {
		return nil
	}
	b := &Block{Part: id, Name: known.part.ID, Model: known.part.Model, Blocked: true, Account: known.crashes[0].account, Version: 1, at: at}
	if earlier := p.blocks[id]; earlier != nil {
		b.Version = earlier.Version + 1
	}
	for _, e := range known.crashes {
		if e.account != b.Account {
			b.Account = ""
		}
	}
	p.endSuspicion(id, known)
	p.makeRoomForBlock()
	p.blocks[id] = b
	return b
}

// endSuspicion ends the suspicion of a part that is blocked, and of what ran at the upstreams that it crashed. The caller must
// hold mu.
func (p *parts) endSuspicion(id ID, known *suspect) {
	delete(p.suspects.byPart, id)
	for _, e := range slices.Clone(known.crashes) {
		p.suspects.attribute(e.upstream, e.at)
	}
}

// makeRoomForBlock drops the lifted block that is oldest if there are many. The caller must hold mu.
func (p *parts) makeRoomForBlock() {
	if len(p.blocks) < 2*maxBlocks {
		return
	}
	var oldest *Block
	for _, b := range p.blocks {
		if !b.Blocked && (oldest == nil || b.at < oldest.at) {
			oldest = b
		}
	}
	if oldest != nil {
		delete(p.blocks, oldest.Part)
	}
}

// begun records that an answer with some parts began. It returns those against which something counted or that were blocked,
// and the blocks that this lifted.
func (p *parts) begun(ids []ID, at time.Duration) (cleared []ID, lifted []Block) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		counted := p.suspects.clear(id, at)
		b := p.blocks[id]
		isBlocked := b != nil && b.Blocked
		if isBlocked {
			lifted = append(lifted, *p.lift(b, ""))
		}
		if counted || isBlocked {
			cleared = append(cleared, id)
		}
	}
	p.suspected.Store(int64(len(p.suspects.byPart)))
	if len(lifted) > 0 {
		p.publish()
	}
	return cleared, lifted
}

// lift lifts a block. The caller must hold mu, and publish.
func (p *parts) lift(b *Block, by string) *Block {
	updated := *b
	updated.Blocked, updated.By, updated.trialAt = false, by, 0
	updated.Version++
	p.blocks[b.Part] = &updated
	return &updated
}

// clear takes over that an answer with some parts began at another node.
func (p *parts) clear(ids []ID, at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.suspects.toldBegun) > maxSuspects {
		clear(p.suspects.toldBegun)
	}
	for _, id := range ids {
		p.suspects.clear(id, at)
		p.suspects.toldBegun[id] = p.clock.Now()
	}
	p.suspected.Store(int64(len(p.suspects.byPart)))
}

// learn takes over a block that another node, or the store, tells of. It reports whether it is news.
func (p *parts) learn(b Block, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.heard) > 4*maxBlocks {
		clear(p.heard)
	}
	p.heard[b.Part] = heardBlock{max(p.heard[b.Part].version, b.Version), now}
	if !b.outdates(p.blocks[b.Part]) {
		return false
	}
	b.at = now - time.Duration(max(0, b.AgoMs))*time.Millisecond
	b.AgoMs = 0
	p.makeRoomForBlock()
	p.blocks[b.Part] = &b
	if known := p.suspects.byPart[b.Part]; known != nil {
		p.endSuspicion(b.Part, known)
	}
	p.publish()
	return true
}

// takeTrial reports whether a request with a blocked part is to be let through, to learn whether upstreams still crash.
func (p *parts) takeTrial(id ID, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.blocks[id]
	if b == nil || !b.Blocked || now < b.trialDue() || b.trialAt != 0 && now-b.trialAt < firstTrial {
		return false
	}
	b.trialAt = now
	return true
}

// maySendAgain reports whether a request with some parts may be sent a second time after an upstream crashed under it.
func (p *parts) maySendAgain(ids []ID, now time.Duration) bool {
	if p.suspected.Load() == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !slices.ContainsFunc(ids, func(id ID) bool { return p.suspects.count(id, now) >= maxResendCrashes })
}

// list returns the blocks in force as told now.
func (p *parts) list(now time.Duration) []Block {
	p.mu.Lock()
	defer p.mu.Unlock()
	var blocks []Block
	for _, b := range p.blocks {
		if b.Blocked {
			blocks = append(blocks, b.told(now))
		}
	}
	slices.SortFunc(blocks, func(a, b Block) int { return int(b.at - a.at) })
	return blocks
}

// told returns a block as told at a time.
func (b Block) told(now time.Duration) Block {
	b.AgoMs = max(0, now-b.at).Milliseconds()
	return b
}

// isCleared reports whether a crash doesn't count against a part, as an answer with the part began.
func (p *parts) isCleared(id ID, e Crash) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspects.isCleared(id, e)
}

// untold returns those of some parts of which no other node told that an answer with them began since a time.
func (p *parts) untold(ids []ID, since time.Duration) []ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(ids, func(id ID) bool { return p.suspects.toldBegun[id] > since })
}

// liftNamed lifts the blocks of the parts with a name.
func (p *parts) liftNamed(name, by string) []Block {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lifted []Block
	for _, b := range p.blocks {
		if b.Blocked && b.Name == name {
			lifted = append(lifted, *p.lift(b, by))
		}
	}
	p.publish()
	return lifted
}

// all returns the newest block of each part as told now, lifted ones included.
func (p *parts) all(now time.Duration) []Block {
	p.mu.Lock()
	defer p.mu.Unlock()
	blocks := make([]Block, 0, len(p.blocks))
	for _, b := range p.blocks {
		blocks = append(blocks, b.told(now))
	}
	return blocks
}

// unheard returns those of some blocks that nobody else told of since a time.
func (p *parts) unheard(blocks []Block, since time.Duration) []Block {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(blocks, func(b Block) bool {
		h := p.heard[b.Part]
		return h.version >= b.Version && h.at >= since
	})
}
