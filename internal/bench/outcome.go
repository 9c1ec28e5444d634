package bench

import "time"

// kind is a kind of request.
type kind int

const (
	kindWhole kind = iota
	kindStream
	kindPlain
	kindDirect
)

// outcome is one request as its caller saw it.
type outcome struct {
	kind    kind
	id      string
	request string
	status  int
	code    string
	tokens  uint64
	whole   bool
	crossed bool
	lost    bool
	latency time.Duration
	first   time.Duration
}

func (o outcome) ok() bool { return !o.lost && o.status == 200 && o.whole && !o.crossed }
