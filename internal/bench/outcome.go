package bench

import "time"

// requestKind selects how a request is sent and whether its answer is streamed.
type requestKind int

const (
	kindUnary requestKind = iota
	kindStream
	kindPlain
	kindDirect
)

// outcome is the result of one request as its caller observed it.
type outcome struct {
	kind      requestKind
	id        string
	requestID string
	status    int
	code      string
	tokens    uint64
	complete  bool
	crossed   bool
	lost      bool
	latency   time.Duration
	firstByte time.Duration
}

func (o outcome) ok() bool { return !o.lost && o.status == 200 && o.complete && !o.crossed }
