package signed

import (
	"testing"

	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
)

var secret = make([]byte, MinSecretLen)

func TestOnlyIntactTokensOfPurposeVerify(t *testing.T) {
	// A caller alters a ticket, or uses a cursor as a ticket. Opened, it would run a
	// call under a ticket that nobody issued, perhaps twice.
	is := is.New(t)
	tickets := NewSigner(secret, "ticket")
	text := tickets.Sign(&fleetv1.CallTicket{Incarnation: "a", Number: 7, Account: "x"})
	ticket := &fleetv1.CallTicket{}
	is.NoErr(tickets.Verify(text, ticket))
	is.Equal(ticket.GetNumber(), uint64(7))
	is.True(NewSigner(secret, "cursor").Verify(text, ticket) != nil)
	is.True(NewSigner([]byte("another"), "ticket").Verify(text, ticket) != nil)
	for i := range text {
		for _, other := range []byte("Aa0-_.") {
			altered := []byte(text)
			altered[i] = other
			is.True(string(altered) == text || tickets.Verify(string(altered), ticket) != nil)
		}
	}
	for end := range text {
		is.True(tickets.Verify(text[:end], ticket) != nil)
	}
}

func FuzzTicket(f *testing.F) {
	tickets := NewSigner(secret, "ticket")
	f.Add(tickets.Sign(&fleetv1.CallTicket{Incarnation: "a", Number: 7, Account: "x", ExpiresMs: 1}))
	f.Add("")
	f.Add(".")
	f.Add("AAAA.AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		ticket := &fleetv1.CallTicket{}
		if tickets.Verify(text, ticket) == nil && tickets.Sign(ticket) != text {
			t.Fatalf("%q opened as %v", text, ticket)
		}
	})
}

func BenchmarkSeal(b *testing.B) {
	signer := NewSigner(secret, "cursor")
	cursor := &fleetv1.StreamCursor{Request: "0c2f7f0e-7b0e-4a9c-9f9e-1d7b3c1c1e55.123456", PeerAddress: "10.0.0.1:7000",
		Service: "lp-analyst", Upstream: "lp-analyst-7", Account: "cenotrh-praha", Next: 1000, ExpiresMs: 1_800_000_000_000}
	b.ReportAllocs()
	for b.Loop() {
		_ = signer.Sign(cursor)
	}
}
