package quarantine

import (
	"slices"
	"time"
)

const (
	// MaxPartCrashes is how many upstreams crash under requests with a part, one after the other and with no answer begun in
	// between, before the part is blocked. Upstreams also crash by themselves: of a part that is rarely asked for, some requests
	// meet that by chance.
	MaxPartCrashes = 4
	// MaxUnopenedCrashes is how many it takes if not even the headers of an answer came under some of them: what crashes then may be
	// a connection, or what was queued beside the request that crashed the upstream.
	MaxUnopenedCrashes = 6
	// minUnopenedInterval is how far apart crashes without headers that count are at least. While many upstreams fail within a
	// second, one request with a common part after the other meets that before an answer could begin.
	minUnopenedInterval = 300 * time.Millisecond
	// clearedFor is how long after an answer with a part began crashes without headers don't count against it: what all requests
	// share meets them when all upstreams fail for other reasons.
	clearedFor = 10 * time.Second
	// maxResendCrashes is how many may have crashed before requests with the part aren't sent a second time: of those that ran
	// beside each other, one would crash the next upstream as well.
	maxResendCrashes = 2
	// suspectLife is how long crashes count against a part: those further apart have little to do with each other.
	suspectLife = 2 * time.Minute
	// maxSuspects bounds the parts that are suspected, at 300 bytes each; the one whose last crash is longest ago yields.
	maxSuspects = 4096
	// maxBegun bounds the parts of which it is known when an answer with them last began, at 60 bytes each.
	maxBegun = 16384
	// begunLife is how long that matters: no request takes longer to begin.
	begunLife = time.Minute
	// maxAttributed bounds the crashes that are attributed to blocked parts, at 16 bytes each; the oldest yields.
	maxAttributed = 256
)

// suspect is what counts against one part.
type suspect struct {
	part    Part
	crashes []partCrash
}

// partCrash is a crash that counts against a part.
type partCrash struct {
	upstream, life ID
	at             time.Duration
	account        string
	opened         bool
}

// attributedCrash is the crash of an upstream that is attributed to a blocked part.
type attributedCrash struct {
	upstream ID
	at       time.Duration
}

// suspects counts the crashes under requests with each part. Its methods need the lock of the parts that holds it.
type suspects struct {
	byPart map[ID]*suspect
	// begun is when an answer with a part last began.
	begun map[ID]time.Duration
	// toldBegun is when another node last told of that.
	toldBegun  map[ID]time.Duration
	attributed []attributedCrash
}

func newSuspects() suspects {
	return suspects{byPart: make(map[ID]*suspect), begun: make(map[ID]time.Duration), toldBegun: make(map[ID]time.Duration)}
}

// add counts a crash against a part and reports whether that is enough to block it. One doesn't count if an answer with the part began since
// the request was sent, if it is attributed to a blocked part, or if the last one that counts came after the request was sent or
// just before its own: when many upstreams crash together, everything that was under way is lost with them. An incarnation crashes once: what accepts connections
// and closes them again, such as a forwarder before an upstream that is gone, is no upstream that crashes under requests.
func (s *suspects) add(part Part, id ID, e Crash) (block bool) {
	if s.isCleared(id, e) || s.isAttributed(e) {
		return false
	}
	known := s.byPart[id]
	if known == nil {
		if len(s.byPart) >= maxSuspects {
			s.makeRoom(e.At)
		}
		known = &suspect{part: part}
		s.byPart[id] = known
	}
	known.crashes = slices.DeleteFunc(known.crashes, func(k partCrash) bool { return e.At-k.at > suspectLife })
	excludes := func(k partCrash) bool {
		return k.at >= e.SentAt || !e.Opened && e.At-k.at < minUnopenedInterval || k.upstream == e.Upstream && k.life == e.Life
	}
	if e.Opened { // it says more than one that isn't
		known.crashes = slices.DeleteFunc(known.crashes, func(k partCrash) bool { return excludes(k) && !k.opened })
	}
	if !slices.ContainsFunc(known.crashes, excludes) {
		known.crashes = append(known.crashes, partCrash{e.Upstream, e.Life, e.At, e.Account, e.Opened})
	}
	return known.reachesThreshold()
}

// isCleared reports whether an answer with a part began since the request of a crash was sent or, for a crash without headers, not
// long before.
func (s *suspects) isCleared(id ID, e Crash) bool {
	begun, ok := s.begun[id]
	return ok && (begun >= e.SentAt || !e.Opened && e.At-begun < clearedFor)
}

// reachesThreshold reports whether what counts against a part is enough to block it.
func (s *suspect) reachesThreshold() bool {
	opened := 0
	for _, k := range s.crashes {
		if k.opened {
			opened++
		}
	}
	return opened >= MaxPartCrashes || len(s.crashes) >= MaxUnopenedCrashes
}

// count returns how many crashes count against a part.
func (s *suspects) count(id ID, now time.Duration) int {
	known := s.byPart[id]
	if known == nil {
		return 0
	}
	count := 0
	for _, k := range known.crashes {
		if now-k.at <= suspectLife {
			count++
		}
	}
	return count
}

// clear records that an answer with a part began, and reports whether something counted against it.
func (s *suspects) clear(id ID, at time.Duration) bool {
	if len(s.begun) >= maxBegun {
		if _, known := s.begun[id]; !known {
			s.forgetBegun(at)
		}
	}
	s.begun[id] = max(s.begun[id], at)
	known := s.byPart[id]
	if known == nil {
		return false
	}
	before := len(known.crashes)
	known.crashes = slices.DeleteFunc(known.crashes, func(k partCrash) bool { return k.at <= at })
	if len(known.crashes) == 0 {
		delete(s.byPart, id)
	}
	return len(known.crashes) < before
}

// forgetBegun drops what no longer matters, or everything if there is none.
func (s *suspects) forgetBegun(now time.Duration) {
	for id, at := range s.begun {
		if now-at > begunLife {
			delete(s.begun, id)
		}
	}
	if len(s.begun) >= maxBegun {
		clear(s.begun)
	}
}

// attribute records that a blocked part crashed an upstream: what else ran there isn't suspected for it.
func (s *suspects) attribute(upstream ID, at time.Duration) {
	if len(s.attributed) >= maxAttributed {
		s.attributed = s.attributed[1:]
	}
	s.attributed = append(s.attributed, attributedCrash{upstream, at})
	for id, known := range s.byPart {
		known.crashes = slices.DeleteFunc(known.crashes, func(k partCrash) bool { return isSameCrash(k.upstream, k.at, upstream, at) })
		if len(known.crashes) == 0 {
			delete(s.byPart, id)
		}
	}
}

func (s *suspects) isAttributed(e Crash) bool {
	return slices.ContainsFunc(s.attributed, func(x attributedCrash) bool { return isSameCrash(x.upstream, x.at, e.Upstream, e.At) })
}

func (s *suspects) makeRoom(now time.Duration) {
	var oldest ID
	var oldestAt time.Duration
	for id, known := range s.byPart {
		last := known.crashes[len(known.crashes)-1].at
		if now-last > suspectLife {
			delete(s.byPart, id)
			continue
		}
		if oldest == 0 || last < oldestAt {
			oldest, oldestAt = id, last
		}
	}
	if len(s.byPart) >= maxSuspects {
		delete(s.byPart, oldest)
	}
}
