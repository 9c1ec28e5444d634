package lease

import (
	"fmt"
	"sync"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// State is the replicated state of one lease.
type State struct {
	// Holder is the incarnation that holds the lease; empty if none does.
	Holder string
	// Epoch increases with each holder and never decreases.
	Epoch uint64
	// Renewal counts the holder's claims within the epoch, from 1.
	Renewal uint64
	// TermMS is how long the holder may act after it began to append its last claim, in
	// milliseconds.
	TermMS uint64
}

// Table is the replicated state of all leases. One goroutine applies entries; Get is safe for
// concurrent use.
type Table struct {
	mu     sync.RWMutex
	leases map[string]State
}

var _ fold.Part = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table { return &Table{leases: map[string]State{}} }

// Name implements fold.Part.
func (t *Table) Name() string { return "lease" }

// Get returns the state of a lease; the zero State if it was never held.
func (t *Table) Get(name string) State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.leases[name]
}

// Apply implements fold.Part.
func (t *Table) Apply(at fold.Position, entry *recordv1.Entry) (fold.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch body := entry.GetBody().(type) {
	case *recordv1.Entry_LeaseClaim:
		return t.claim(at, body.LeaseClaim), true
	case *recordv1.Entry_LeaseRelease:
		return t.release(at, body.LeaseRelease), true
	}
	return fold.Verdict{}, false
}

// claim renews the writer's lease or takes over that of another holder. A claimer that has
// waited out the holder's term names the last renewal it saw: if a later renewal is already in
// the log, the claim is refused, or both nodes would act at once, for example by interleaving
// orders to an engine.
func (t *Table) claim(at fold.Position, claim *recordv1.LeaseClaim) fold.Verdict {
	state := t.leases[claim.GetLease()]
	own := state.Holder == at.Writer
	switch {
	case claim.GetEpoch() != state.Epoch:
		return t.refuse(at, state)
	case own:
		state.Renewal++
	case state.Holder != "" && claim.GetRenewal() != state.Renewal:
		return t.refuse(at, state)
	default:
		state.Holder = at.Writer
		state.Epoch++
		state.Renewal = 1
	}
	state.TermMS = claim.GetTermMs()
	t.leases[claim.GetLease()] = state
	return fold.Verdict{Offset: at.Offset, Version: state.Epoch}
}

func (t *Table) refuse(at fold.Position, state State) fold.Verdict {
	verdict := fold.Refuse(at, result.NotHolder, fmt.Sprintf("the lease is at epoch %d, renewal %d", state.Epoch, state.Renewal))
	verdict.Version = state.Epoch
	return verdict
}

func (t *Table) release(at fold.Position, release *recordv1.LeaseRelease) fold.Verdict {
	state := t.leases[release.GetLease()]
	if state.Holder != at.Writer || state.Epoch != release.GetEpoch() {
		return t.refuse(at, state)
	}
	state.Holder = ""
	t.leases[release.GetLease()] = state
	return fold.Verdict{Offset: at.Offset, Version: state.Epoch}
}
