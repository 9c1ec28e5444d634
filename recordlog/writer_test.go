package recordlog

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/record"
)

func claimOf(i int) *recordv1.Entry {
	return &recordv1.Entry{Body: &recordv1.Entry_ShareClaim{ShareClaim: &recordv1.ShareClaim{Budget: fmt.Sprint("summaries-", i), Tokens: 1}}}
}

// The log is out for hours while callers ask for budgets that this node holds no share
// of. Each gives up and withdraws its claim; the node's memory grew with every one of
// them until a small instance died, late in the outage and with answers open.
func TestWithdrawnTicketsAreFreed(t *testing.T) {
	is := is.New(t)
	w := NewWriter(standin.NewLog(), "fleet", "a", clockwork.NewFakeClock(), event.NewHLC(clockwork.NewFakeClock()), 0)
	var kept []*Ticket
	for i := range 100_000 {
		ticket := w.Submit(claimOf(i))
		if i%1000 == 0 {
			kept = append(kept, ticket)
			continue
		}
		is.True(ticket.Withdraw())
	}
	is.True(w.waiting.len() <= leastSwept+len(kept))
	batch := w.build()
	is.Equal(len(batch.GetEntries()), len(kept)) // in order, and none that was withdrawn
	for i, entry := range batch.GetEntries() {
		is.Equal(entry.GetShareClaim().GetBudget(), fmt.Sprint("summaries-", i*1000))
	}
}

// A batch takes a bounded number of entries; the rest comes in the next one.
func TestBatchSizeIsBounded(t *testing.T) {
	is := is.New(t)
	w := NewWriter(standin.NewLog(), "fleet", "a", clockwork.NewFakeClock(), event.NewHLC(clockwork.NewFakeClock()), 0)
	for i := range maxBatchEntries + 3 {
		w.Submit(claimOf(i))
	}
	is.Equal(len(w.build().GetEntries()), maxBatchEntries)
	is.Equal(len(w.build().GetEntries()), 3)
	is.True(w.build() == nil)
}

// silentLog takes appends and never answers them.
type silentLog struct{ *standin.Log }

func (l silentLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	_, _ = l.Log.Append(ctx, stream, data)
	<-ctx.Done()
	return 0, ctx.Err()
}

// The log takes each append and its answers get lost on the way. Whoever reads the
// batch back knows that it counts; waiting for the answer all the same held up the
// claims behind it for five seconds each, and their requests were refused.
func TestReadBackConfirmsUnansweredAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock() // fake within the bubble
		log := silentLog{standin.NewLog()}
		w := NewWriter(log, "fleet", "a", clock, event.NewHLC(clock), 20*time.Millisecond)
		f := NewFollower(log, "fleet", clock, fold.NewEngine(),
			func(_ uint64, b *recordv1.Batch, v []fold.Verdict) { w.HandleFolded(b, v) })
		go w.Run(t.Context())
		go f.Run(t.Context())
		began := clock.Now()
		for i := range 10 {
			<-w.Submit(claimOf(i)).Done()
		}
		is.True(clock.Since(began) < appendTimeout)
		is.Equal(w.Appends(), uint64(10))
		is.True(!w.Failing())
	})
}

func marshalled(batch *recordv1.Batch) []byte {
	data, err := proto.Marshal(batch)
	if err != nil {
		panic(err) // generated messages always marshal
	}
	return data
}

// One record with the batches of several writers gives each writer the verdicts of
// its own entries, and a batch among them that came before is void alone.
func TestGatheredRecordIsFoldedBatchByBatch(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	log := standin.NewLog()
	first := func(name string) []byte {
		return marshalled(&recordv1.Batch{Writer: name, Seq: 1, Entries: []*recordv1.Entry{claimOf(1)}})
	}
	for _, data := range [][]byte{first("a"), record.Join([][]byte{first("a"), first("b"), first("c")}), []byte("no batch")} {
		_, err := log.Append(t.Context(), "fleet", data)
		is.NoErr(err)
	}
	var told []string
	f := NewFollower(log, "fleet", clock, fold.NewEngine(), func(offset uint64, b *recordv1.Batch, v []fold.Verdict) {
		for _, verdict := range v {
			told = append(told, fmt.Sprint(offset, b.GetWriter(), verdict.OK()))
		}
	})
	is.NoErr(f.Step(t.Context(), 0))
	is.Equal(told, []string{"1atrue", "2afalse", "2btrue", "2ctrue"})
	is.Equal(f.Offset(), uint64(3))
	is.Equal(f.LastSeq("c"), uint64(1))
}
