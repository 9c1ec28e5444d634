package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

// addressBook is the addresses that one caller has resolved. Callers differ in how long they keep
// them: some for their TTL, some longer, some until a node is gone.
type addressBook struct {
	fleet  *fleet
	caller *standin.Caller
	// place is where the caller is.
	place place
	// ttl is how long the addresses are kept; zero means until a connection fails.
	ttl time.Duration

	addresses  []string
	resolvedAt time.Time
	// failed is set if a connection failed.
	failed atomic.Bool
}

func newAddressBook(f *fleet, c *standin.Caller, number int) *addressBook {
	ttls := []time.Duration{addressTTL, staleTTL, 0}
	return &addressBook{fleet: f, caller: c, place: f.options.nodePlace(number), ttl: ttls[number%len(ttls)]}
}

// address returns one of the addresses; false if none is known.
func (b *addressBook) address(ctx context.Context, r *rand.Rand) (string, bool) {
	expired := b.ttl > 0 && time.Since(b.resolvedAt) > b.ttl
	if expired || b.failed.Load() || len(b.addresses) == 0 {
		b.resolve(ctx, r)
	}
	if len(b.addresses) == 0 {
		return "", false
	}
	return b.addresses[r.IntN(len(b.addresses))], true
}

func (b *addressBook) resolve(ctx context.Context, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	addresses, err := b.caller.Resolve(ctx, b.fleet.nodes[r.IntN(len(b.fleet.nodes))].directory, b.place.region, b.place.dataCentre)
	if err != nil || len(addresses) == 0 {
		return // the node is down; the next call asks another
	}
	b.addresses, b.resolvedAt = addresses, time.Now()
	b.failed.Store(false)
}

// observe takes note of a call's outcome.
func (b *addressBook) observe(o standin.Outcome) {
	if failedToConnect(o) {
		b.failed.Store(true)
	}
}

// failedToConnect reports whether no connection to the node could be opened.
func failedToConnect(o standin.Outcome) bool {
	var op *net.OpError
	return errors.As(o.Err, &op) && op.Op == "dial"
}
