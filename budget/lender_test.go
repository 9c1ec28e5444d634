package budget

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

func newTestLender(tokens uint64) (*Lender, *ShareHolder) {
	m := newModel()
	m.addNode() // the borrower, n0
	h := newTestHolder(tokens)
	events := event.NewRecorder(event.NewHLC(clockwork.NewFakeClock()), "n", 100, log.NewNopLogger())
	return NewLender(h, m.ledger, events), h
}

// A borrower's ask gets no answer, so it settles the part at nothing, and the ask
// arrives after that. Reserved then, the tokens would be out of use for good.
func TestReserveAfterSettleIsRefused(t *testing.T) {
	is := is.New(t)
	l, h := newTestLender(100)
	l.Settle("n0.1/0", 0)
	_, err := l.Reserve("n0", &fleetv1.Reserve{Budget: "b", Tokens: 50, Id: "n0.1/0"})
	is.Equal(result.CodeOf(err), result.ReservationEnded)
	is.Equal(h.Available("b"), uint64(100))
}

// Asks and settlements arrive in any order and several times. Each part must be
// reserved and billed at most once, and nothing may stay reserved after the end.
func TestLenderIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, h := newTestLender(1000)
		billed := map[string]uint64{}
		ids := []string{"n0.1/0", "n0.2/0", "n0.2/1"}
		for range rapid.IntRange(0, 20).Draw(t, "messages") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			if rapid.Bool().Draw(t, "ask") {
				_, _ = l.Reserve("n0", &fleetv1.Reserve{Budget: "b", Tokens: 200, Id: id})
				continue
			}
			before := h.Used("b")
			l.Settle(id, 150)
			if paid := h.Used("b") - before; paid > 0 {
				if billed[id] > 0 {
					t.Fatalf("part %s is billed twice", id)
				}
				billed[id] = paid
			}
		}
		for _, id := range ids {
			l.Settle(id, 0)
		}
		if h.OpenReservations() != 0 || h.Available("b")+h.Used("b") != 1000 {
			t.Fatalf("%d open, %d available, %d used", h.OpenReservations(), h.Available("b"), h.Used("b"))
		}
	})
}

// A request is covered by several parts. Whatever it used, the parts together must
// pay exactly that, and none more than it reserved.
func TestPartsAreBilledExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.Uint64Range(0, 500), 1, 6).Draw(t, "parts")
		total := uint64(0)
		for _, p := range parts {
			total += p
		}
		used := rapid.Uint64Range(0, total).Draw(t, "used")
		before, paid := uint64(0), uint64(0)
		for _, reserved := range parts {
			pays := shareOf(used, before, reserved)
			if pays > reserved {
				t.Fatalf("pays %d of %d", pays, reserved)
			}
			paid += pays
			before += reserved
		}
		if paid != used {
			t.Fatalf("paid %d, used %d", paid, used)
		}
	})
}
