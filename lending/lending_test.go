package lending

import (
	"context"
	"errors"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/httpwire"
	"lavenderpin.dev/lavenderpin/prepaid"
)

func newTestLender(ceiling int64) (*Lender, *prepaid.Share, *bootclock.Fake) {
	clock := &bootclock.Fake{}
	clock.Advance(time.Hour)
	share := prepaid.NewShare(prepaid.DefaultSettings(), prepaid.Clocks{Boot: clock, Wall: clock.WallClock()}, prepaid.Holder{Node: "n1", Region: "r", Incarnation: "i1", BootID: "boot", Listed: func() bool { return true }})
	share.Apply(prepaid.Grant{Node: "n1", Incarnation: "i1", Epoch: 1, Lines: []prepaid.GrantLine{{Account: "a", Ceiling: ceiling}}})
	report := func(context.Context) error { share.Compose(); share.Acknowledge(); return nil }
	return NewLender(share, clock, report), share, clock
}

// A borrower dies with an open loan. Its request may have used all of it, so after the longest
// duration of a request the loan counts as used.
func TestUnsettledLoanCountsAsUsed(t *testing.T) {
	is := is.New(t)
	l, share, clock := newTestLender(100_000)
	is.True(l.Handle(context.Background(), Request{LoanID: "x", Account: "a", Tokens: 30_000}).Granted)
	is.Equal(share.Status("a").Reserved, int64(30_000))
	clock.Advance(loanTTL)
	l.Expire()
	is.Equal(share.Status("a").Reserved, int64(0))
	is.Equal(share.Status("a").Spent, int64(30_000))
}

// A borrower repeats a settlement because its answer was lost. If it were applied twice, the
// account would pay twice.
func TestLoanIsSettledOnce(t *testing.T) {
	is := is.New(t)
	l, share, _ := newTestLender(100_000)
	l.Handle(context.Background(), Request{LoanID: "x", Account: "a", Tokens: 30_000})
	for range 3 {
		l.Handle(context.Background(), Request{LoanID: "x", Account: "a", Tokens: 12_000, Settle: true})
	}
	is.Equal(share.Status("a").Spent, int64(12_000))
	is.Equal(share.Status("a").Reserved, int64(0))
}

// A borrower gives up on a slow lender and settles with zero use before its request arrives.
// The tokens must not stay reserved without a borrower.
func TestRequestAfterSettlementReservesNothing(t *testing.T) {
	is := is.New(t)
	l, share, _ := newTestLender(100_000)
	l.Handle(context.Background(), Request{LoanID: "x", Account: "a", Settle: true})
	is.True(!l.Handle(context.Background(), Request{LoanID: "x", Account: "a", Tokens: 30_000}).Granted)
	is.Equal(share.Status("a").Reserved, int64(0))
}

// transportFunc adapts a function to Transport.
type transportFunc func(address string, request Request) (Reply, error)

func (f transportFunc) Call(_ context.Context, address string, request Request) (Reply, error) {
	return f(address, request)
}

// A long prompt finds no lender. Short ones of the same account, which would find one, must not
// be refused because of it.
func TestShortageForLongPromptDoesNotBlockShortOnes(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	transport := transportFunc(func(_ string, request Request) (Reply, error) {
		return Reply{Granted: request.Tokens < 5_000, Lendable: 4_000}, nil
	})
	b := NewBorrower(transport, clock, "n", func(string) []Peer { return []Peer{{Node: "l", Address: "l:1", Ceiling: 100_000}} })
	_, _, ok := b.Borrow(context.Background(), "a", 50_000, false)
	is.True(!ok)
	_, stats, ok := b.Borrow(context.Background(), "a", 60_000, false)
	is.True(!ok)
	is.True(stats.KnownShortage)
	_, _, ok = b.Borrow(context.Background(), "a", 1_000, false)
	is.True(ok)
}

// Two of three lenders are unreachable. The third must be found, after those in the same
// region.
func TestTriesLendersInSameRegionFirst(t *testing.T) {
	is := is.New(t)
	var asked []string
	transport := transportFunc(func(address string, request Request) (Reply, error) {
		if request.Settle {
			return Reply{Granted: true}, nil
		}
		asked = append(asked, address)
		if strings.HasPrefix(address, "near") {
			return Reply{}, errors.New("cut off")
		}
		return Reply{Granted: true}, nil
	})
	b := NewBorrower(transport, &bootclock.Fake{}, "n", func(string) []Peer {
		return []Peer{{Node: "f", Address: "far", Ceiling: 90_000}, {Node: "1", Address: "near1", SameRegion: true, Ceiling: 50_000}, {Node: "2", Address: "near2", SameRegion: true, Ceiling: 50_000}}
	})
	loan, stats, ok := b.Borrow(context.Background(), "a", 1_000, false)
	is.True(ok)
	is.Equal(loan.Peer.Node, "f")
	is.Equal(stats.Unanswered, 2)
	is.Equal(len(asked), 3)
}

// Requests work over real connections, and an invalid one is rejected.
func TestRequestsOverHTTP(t *testing.T) {
	is := is.New(t)
	l, share, _ := newTestLender(100_000)
	server := httptest.NewServer(Handler(l))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	wire := httpwire.NewClient(httpwire.Options{Clock: bootclock.System{}, DialTimeout: time.Second})
	client := &Client{Wire: wire}
	reply, err := client.Call(context.Background(), address, Request{LoanID: "x", Account: "a", Tokens: 10_000})
	is.NoErr(err)
	is.True(reply.Granted)
	is.Equal(share.Status("a").Reserved, int64(10_000))
	_, err = client.Call(context.Background(), address, Request{LoanID: "y", Account: "a", Tokens: -5})
	is.True(err != nil)
}

// Most lenders of an account are used up. A borrower that learned this from them must spend its
// few calls on the others; otherwise it refuses while they hold plenty.
func TestSkipsLendersKnownToHaveTooLittle(t *testing.T) {
	is := is.New(t)
	asked := make(map[string]int)
	transport := transportFunc(func(address string, request Request) (Reply, error) {
		asked[address]++
		if address == "full" {
			return Reply{Granted: true, Lendable: 50_000}, nil
		}
		return Reply{Lendable: 100}, nil
	})
	var peers []Peer
	for _, name := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
		peers = append(peers, Peer{Node: name, Address: name, SameRegion: true, Ceiling: 90_000})
	}
	peers = append(peers, Peer{Node: "full", Address: "full", Ceiling: 90_000})
	b := NewBorrower(transport, &bootclock.Fake{}, "n", func(string) []Peer { return append([]Peer(nil), peers...) })
	const requests = 5
	for range requests {
		_, _, ok := b.Borrow(context.Background(), "a", 1_000, false)
		is.True(ok)
	}
	is.Equal(asked["full"], requests)
	for name, times := range asked {
		is.True(name == "full" || times == 1)
	}
}

// Of ten lenders with equal ceilings nine have used theirs up. The one with unused tokens must
// be found within the few calls, or the request is refused while it holds plenty.
func TestPrefersLendersWithUnusedTokens(t *testing.T) {
	is := is.New(t)
	transport := transportFunc(func(address string, request Request) (Reply, error) { return Reply{Granted: address == "roomy"}, nil })
	peers := []Peer{{Node: "roomy", Address: "roomy", Ceiling: 500_000, Unused: 400_000}}
	for i := range 9 {
		name := strconv.Itoa(i)
		peers = append(peers, Peer{Node: name, Address: name, Ceiling: 500_000})
	}
	found := 0
	for i := range 100 {
		b := NewBorrower(transport, &bootclock.Fake{}, strconv.Itoa(i), func(string) []Peer { return append([]Peer(nil), peers...) })
		if _, _, ok := b.Borrow(context.Background(), "a", 10_000, false); ok {
			found++
		}
	}
	is.True(found >= 90) // weighted by ceilings alone, only six of ten are asked
}

// Guards against giving up on an account because the lenders that were asked are used up, while
// others that weren't asked, or didn't answer, hold plenty.
func TestShortageNeedsAnAnswerOfAllLenders(t *testing.T) {
	is := is.New(t)
	silent := true
	transport := transportFunc(func(address string, request Request) (Reply, error) {
		switch {
		case request.Settle:
			return Reply{Granted: true}, nil
		case address == "silent" && silent:
			return Reply{}, errors.New("no answer")
		case address == "silent":
			return Reply{Granted: true}, nil
		}
		return Reply{Lendable: 100}, nil
	})
	peers := []Peer{{Node: "silent", Address: "silent", Ceiling: 90_000}}
	for i := range 12 {
		name := strconv.Itoa(i)
		peers = append(peers, Peer{Node: name, Address: name, SameRegion: true, Ceiling: 90_000})
	}
	b := NewBorrower(transport, &bootclock.Fake{}, "n", func(string) []Peer { return append([]Peer(nil), peers...) })
	for range 3 {
		_, stats, ok := b.Borrow(context.Background(), "a", 1_000, false)
		is.True(!ok)
		is.True(!stats.KnownShortage)
	}
	silent = false
	_, _, ok := b.Borrow(context.Background(), "a", 1_000, false)
	is.True(ok)
}

// Guards against asking only lenders of the same region once these are used up.
func TestAsksOtherRegionWithinOneRequest(t *testing.T) {
	is := is.New(t)
	transport := transportFunc(func(address string, _ Request) (Reply, error) { return Reply{Granted: address == "far"}, nil })
	peers := []Peer{{Node: "far", Address: "far", Ceiling: 90_000}}
	for i := range 12 {
		name := strconv.Itoa(i)
		peers = append(peers, Peer{Node: name, Address: name, SameRegion: true, Ceiling: 90_000})
	}
	b := NewBorrower(transport, &bootclock.Fake{}, "n", func(string) []Peer { return append([]Peer(nil), peers...) })
	loan, _, ok := b.Borrow(context.Background(), "a", 1_000, false)
	is.True(ok)
	is.Equal(loan.Peer.Node, "far")
}

// Guards against asking former holders of an account, which have used up what they held, before the
// one that holds its last tokens.
func TestAsksHoldersWithUnusedTokensFirst(t *testing.T) {
	is := is.New(t)
	var asked []string
	transport := transportFunc(func(address string, _ Request) (Reply, error) {
		asked = append(asked, address)
		return Reply{Granted: address == "holder"}, nil
	})
	peers := []Peer{{Node: "holder", Address: "holder", Ceiling: 60_000, Unused: 60_000}}
	for i := range 14 {
		name := strconv.Itoa(i)
		peers = append(peers, Peer{Node: name, Address: name, SameRegion: true, Ceiling: 500_000})
	}
	b := NewBorrower(transport, &bootclock.Fake{}, "n", func(string) []Peer { return append([]Peer(nil), peers...) })
	_, _, ok := b.Borrow(context.Background(), "a", 10_000, false)
	is.True(ok)
	is.Equal(asked, []string{"holder"})
}
