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

func lenderWith(ceiling int64) (*Lender, *prepaid.Share, *bootclock.Fake) {
	clock := &bootclock.Fake{}
	clock.Advance(time.Hour)
	share := prepaid.NewShare(prepaid.DefaultSettings(), prepaid.Clocks{Boot: clock, Wall: clock.TimeOfDay()}, prepaid.Holder{Node: "n1", Region: "r", Incarnation: "i1", BootID: "boot"})
	share.Apply(prepaid.Grant{Node: "n1", Incarnation: "i1", Epoch: 1, Lines: []prepaid.GrantLine{{Account: "a", Ceiling: ceiling}}})
	report := func(context.Context) error { share.Compose(); share.Acknowledge(); return nil }
	return NewLender(share, clock, report), share, clock
}

// A borrower dies with a loan open. Its request may have used all of it, so after the
// longest time that a request lasts the loan counts as used.
func TestUnsettledLoanCountsAsUsed(t *testing.T) {
	is := is.New(t)
	l, share, clock := lenderWith(100_000)
	is.True(l.Handle(context.Background(), Request{LoanID: "x", Account: "a", Tokens: 30_000}).Granted)
	is.Equal(share.Status("a").Reserved, int64(30_000))
	clock.Advance(loanFor)
	l.Expire()
	is.Equal(share.Status("a").Reserved, int64(0))
	is.Equal(share.Status("a").Spent, int64(30_000))
}

// A borrower's settlement is sent again because its answer was lost. Booked twice, the
// account would pay twice.
func TestLoanIsSettledOnce(t *testing.T) {
	is := is.New(t)
	l, share, _ := lenderWith(100_000)
	l.Handle(context.Background(), Request{LoanID: "x", Account: "a", Tokens: 30_000})
	for range 3 {
		l.Handle(context.Background(), Request{LoanID: "x", Account: "a", Tokens: 12_000, Settle: true})
	}
	is.Equal(share.Status("a").Spent, int64(12_000))
	is.Equal(share.Status("a").Reserved, int64(0))
}

// A borrower gives up on a slow lender and settles its ask with nothing before the ask
// arrives. The tokens must not stay set aside for nobody.
func TestRequestAfterSettlementReservesNothing(t *testing.T) {
	is := is.New(t)
	l, share, _ := lenderWith(100_000)
	l.Handle(context.Background(), Request{LoanID: "x", Account: "a", Settle: true})
	is.True(!l.Handle(context.Background(), Request{LoanID: "x", Account: "a", Tokens: 30_000}).Granted)
	is.Equal(share.Status("a").Reserved, int64(0))
}

// callerFunc is a caller for tests.
type callerFunc func(address string, ask Request) (Reply, error)

func (f callerFunc) Call(_ context.Context, address string, ask Request) (Reply, error) {
	return f(address, ask)
}

// A long prompt finds no lender. The short ones of the same account, which would find
// one, must not be refused for it.
func TestShortageForLongPromptDoesNotBlockShortOnes(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	caller := callerFunc(func(_ string, ask Request) (Reply, error) {
		return Reply{Granted: ask.Tokens < 5_000, Lendable: 4_000}, nil
	})
	b := NewBorrower(caller, clock, "n", func(string) []Peer { return []Peer{{Node: "l", Address: "l:1", Ceiling: 100_000}} })
	_, _, ok := b.Borrow(context.Background(), "a", 50_000, false)
	is.True(!ok)
	_, tally, ok := b.Borrow(context.Background(), "a", 60_000, false)
	is.True(!ok)
	is.True(tally.KnownShortage)
	_, _, ok = b.Borrow(context.Background(), "a", 1_000, false)
	is.True(ok)
}

// Two of three lenders are cut off. The third must be found, near ones first.
func TestTriesLendersInSameRegionFirst(t *testing.T) {
	is := is.New(t)
	var asked []string
	caller := callerFunc(func(address string, ask Request) (Reply, error) {
		if ask.Settle {
			return Reply{Granted: true}, nil
		}
		asked = append(asked, address)
		if strings.HasPrefix(address, "near") {
			return Reply{}, errors.New("cut off")
		}
		return Reply{Granted: true}, nil
	})
	b := NewBorrower(caller, &bootclock.Fake{}, "n", func(string) []Peer {
		return []Peer{{Node: "f", Address: "far", Ceiling: 90_000}, {Node: "1", Address: "near1", SameRegion: true, Ceiling: 50_000}, {Node: "2", Address: "near2", SameRegion: true, Ceiling: 50_000}}
	})
	loan, tally, ok := b.Borrow(context.Background(), "a", 1_000, false)
	is.True(ok)
	is.Equal(loan.Peer.Node, "f")
	is.Equal(tally.Unanswered, 2)
	is.Equal(len(asked), 3)
}

// The exchange goes over real connections, and what isn't an ask is refused.
func TestRequestsOverHTTP(t *testing.T) {
	is := is.New(t)
	l, share, _ := lenderWith(100_000)
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

// Most lenders of an account are used up. A borrower that has heard so from them must
// spend its few asks on the others, or it refuses while they hold plenty.
func TestSkipsLendersKnownToHaveTooLittle(t *testing.T) {
	is := is.New(t)
	asked := make(map[string]int)
	caller := callerFunc(func(address string, ask Request) (Reply, error) {
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
	clock := &bootclock.Fake{}
	b := NewBorrower(caller, clock, "n", func(string) []Peer { return append([]Peer(nil), peers...) })
	b.Borrow(context.Background(), "a", 1_000, false)
	clock.Advance(nothingFor)
	_, _, ok := b.Borrow(context.Background(), "a", 1_000, false)
	is.True(ok)
	is.Equal(asked["full"], 1)
}

// Of ten lenders with equal ceilings nine have used theirs up. The one that has room must
// be found within the few asks, or the request is refused while it holds plenty.
func TestPrefersLendersWithUnusedTokens(t *testing.T) {
	is := is.New(t)
	caller := callerFunc(func(address string, ask Request) (Reply, error) { return Reply{Granted: address == "roomy"}, nil })
	peers := []Peer{{Node: "roomy", Address: "roomy", Ceiling: 500_000, Unused: 400_000}}
	for i := range 9 {
		name := strconv.Itoa(i)
		peers = append(peers, Peer{Node: name, Address: name, Ceiling: 500_000})
	}
	found := 0
	for i := range 100 {
		b := NewBorrower(caller, &bootclock.Fake{}, strconv.Itoa(i), func(string) []Peer { return append([]Peer(nil), peers...) })
		if _, _, ok := b.Borrow(context.Background(), "a", 10_000, false); ok {
			found++
		}
	}
	is.True(found >= 90) // drawn by ceilings alone, six of ten are asked
}
