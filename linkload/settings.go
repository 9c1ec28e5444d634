package linkload

import "time"

// Settings are the limits of an Admission.
type Settings struct {
	// TargetUse is the part of the link's speed that admitted and refused requests may use together. The rest is for what the
	// node exchanges with the store and other nodes, and for retransmissions.
	TargetUse float64
	// BeginDelay is the delay on the link from which on it is crowded, if at least BeginUse of its speed is used; FullUse is the
	// use from which on it is crowded whatever the delay. BeginDelay is half of the delay at which new connections are refused. A
	// delay while less than half of the link is used comes from elsewhere.
	BeginDelay        time.Duration
	BeginUse, FullUse float64
	// Calm is how long demand must fit the link, at less than half of BeginDelay, until it is no longer crowded.
	Calm time.Duration
	// MinScale bounds how far a delay that persists reduces what is admitted: it may have another cause, such as a neighbour that
	// is late itself.
	MinScale float64
	// MinShare is the part of its requests that is admitted of every size, route and account: a caller that comes back a few
	// times is served.
	MinShare float64
	// MaxDenied is how long a size, route or account may be denied before its next request is admitted.
	MaxDenied time.Duration
	// FairPart bounds the part of the admitted bytes that MinShare and MaxDenied may take. With 10 Mbit/s it is some 25
	// prompts of 12 KB a second.
	FairPart float64
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		TargetUse:  0.9,
		BeginDelay: 100 * time.Millisecond,
		BeginUse:   0.5,
		FullUse:    0.9,
		Calm:       time.Second,
		MinScale:   0.5,
		MinShare:   0.2,
		MaxDenied:  time.Second,
		FairPart:   0.25,
	}
}

const (
	// SmallReceiveBuffer is the receive buffer in bytes of connections that open while the link is crowded. Headers and body of
	// a short request fit. With 1,024, a request in three packets lost one and took 0.2 s.
	SmallReceiveBuffer = 2048
	// SmallUnaskedBytes is how much of a body at most crosses the link unasked with such a buffer: the server's first read makes
	// room for as much again.
	SmallUnaskedBytes = 2 * SmallReceiveBuffer
	// UsualReceiveBuffer is the receive buffer in bytes of a connection whose request body is read, and of those that open once
	// the link is no longer crowded: a body of 12 KB takes one round trip.
	UsualReceiveBuffer = 64 << 10
)
