package quarantine

import "time"

// Crash is the crash of an upstream, or of the connection to it, while it worked on a request.
type Crash struct {
	// ID is drawn at random; reports of a crash that arrive twice have the same one.
	ID ID
	// Request is the content of the request.
	Request ID
	// Upstream is the incarnation of the upstream or, where that can't be told, the upstream; Life then tells its incarnations
	// apart as the reporting node saw them.
	Upstream, Life ID
	// Account is the client account of the request.
	Account string
	// PartIDs are the parts of its prompt that are suspected: none if its answer had begun. Parts are the same with their
	// names.
	PartIDs []ID
	Parts   []Part
	// Opened reports whether the headers of an answer had come.
	Opened bool
	// Own is set if the crash was under a request of this node.
	Own bool
	// SentAt is the reading of this node's clock when the request was sent, At that at the crash.
	SentAt, At time.Duration
}

// sameCrash is how far apart two reports of the crash of one incarnation may be: detecting a silent connection takes
// longer than a closed one.
const sameCrash = time.Second

// isSame reports whether two crashes under one request are one and the same. An upstream that starts again
// under its ID is another one, though its entry may not tell yet.
func (e Crash) isSame(other Crash) bool {
	return e.ID == other.ID || isSameCrash(e.Upstream, e.At, other.Upstream, other.At)
}

func isSameCrash(upstream ID, at time.Duration, other ID, otherAt time.Duration) bool {
	return upstream == other && max(at-otherAt, otherAt-at) < sameCrash
}
