package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	golog "github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/recordlog"
)

const term = 12 * time.Second

// node is a keeper with its own journal and fold over a shared log, in fake time.
type node struct {
	keeper *Manager
	cancel context.CancelFunc
}

func startNode(t *testing.T, log *standin.Log, incarnation string) *node {
	t.Helper()
	clock := clockwork.NewRealClock() // fake within the synctest bubble
	hlc := event.NewHLC(clock)
	events := event.NewRecorder(hlc, incarnation, 100, golog.NewNopLogger())
	table := NewTable()
	writer := recordlog.NewWriter(log, "fleet", incarnation, clock, hlc, 10*time.Millisecond)
	follower := recordlog.NewFollower(log, "fleet", clock, fold.NewEngine(table),
		func(_ uint64, batch *recordv1.Batch, verdicts []fold.Verdict) { writer.Folded(batch, verdicts) })
	n := &node{keeper: NewManager(incarnation, term, table, writer, clock, events)}
	ctx, cancel := context.WithCancel(t.Context())
	n.cancel = cancel
	for _, run := range []func(context.Context){writer.Run, follower.Run, n.keeper.Run} {
		go run(ctx)
	}
	n.keeper.Campaign(job)
	return n
}

func (n *node) epoch() uint64 {
	held, ok := n.keeper.Held(job)
	if !ok {
		return 0
	}
	return held.Epoch
}

func holders(nodes ...*node) int {
	count := 0
	for _, n := range nodes {
		if n.epoch() != 0 {
			count++
		}
	}
	return count
}

// One node of several takes the job and keeps it while all is well.
func TestExactlyOneNodeHoldsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := standin.NewLog()
		nodes := []*node{startNode(t, log, "a"), startNode(t, log, "b"), startNode(t, log, "c")}
		time.Sleep(5 * time.Second)
		is.Equal(holders(nodes...), 1)
		time.Sleep(10 * time.Minute)
		is.Equal(holders(nodes...), 1)
		is.Equal(nodes[0].epoch()+nodes[1].epoch()+nodes[2].epoch(), uint64(1)) // never changed hands
	})
}

// The holder's process dies. Without a takeover no engine would get an order until
// somebody was called at night.
func TestDeadHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := standin.NewLog()
		a := startNode(t, log, "a")
		time.Sleep(5 * time.Second)
		is.Equal(a.epoch(), uint64(1))
		b := startNode(t, log, "b")
		a.cancel()
		time.Sleep(2 * term)
		is.Equal(a.epoch(), uint64(0))
		is.Equal(b.epoch(), uint64(2))
	})
}

// The log is down for longer than the term. The holder must stop acting by itself,
// since it can't know whether another node took over; when the log is back exactly
// one node acts again.
func TestOutageLongerThanTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := standin.NewLog()
		nodes := []*node{startNode(t, log, "a"), startNode(t, log, "b")}
		time.Sleep(5 * time.Second)
		is.Equal(holders(nodes...), 1)
		log.SetDown(true)
		time.Sleep(term)
		is.Equal(holders(nodes...), 0)
		time.Sleep(time.Hour)
		is.Equal(holders(nodes...), 0)
		log.SetDown(false)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			is.True(holders(nodes...) <= 1)
		}
		is.Equal(holders(nodes...), 1)
	})
}

// Every answer to an append is lost for a while, although the appends take effect.
// A holder that trusted answers would stop, and a claimer that repeated itself
// would take the lease from itself under a new epoch.
func TestLostAnswersDoNotChangeTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := standin.NewLog()
		a := startNode(t, log, "a")
		log.LoseAnswers(20)
		time.Sleep(time.Minute)
		is.Equal(a.epoch(), uint64(1))
	})
}

// The holder stops gracefully; the next one needn't wait the term out.
func TestReleaseAllowsImmediateTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := standin.NewLog()
		a := startNode(t, log, "a")
		time.Sleep(5 * time.Second)
		b := startNode(t, log, "b")
		time.Sleep(time.Second)
		a.keeper.ReleaseAll()
		time.Sleep(4 * time.Second)
		is.Equal(a.epoch(), uint64(0))
		is.Equal(b.epoch(), uint64(2))
	})
}
