package lease

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

const job = "orders"

// log feeds a table entries in order, as the fold does.
type log struct {
	table  *Table
	offset uint64
}

func (l *log) claim(writer string, epoch, renewal uint64) fold.Verdict {
	l.offset++
	verdict, _ := l.table.Apply(fold.Position{Offset: l.offset, Writer: writer}, &recordv1.Entry{
		Body: &recordv1.Entry_LeaseClaim{LeaseClaim: &recordv1.LeaseClaim{Lease: job, Epoch: epoch, Renewal: renewal, TermMs: 10_000}},
	})
	return verdict
}

func (l *log) release(writer string, epoch uint64) fold.Verdict {
	l.offset++
	verdict, _ := l.table.Apply(fold.Position{Offset: l.offset, Writer: writer}, &recordv1.Entry{
		Body: &recordv1.Entry_LeaseRelease{LeaseRelease: &recordv1.LeaseRelease{Lease: job, Epoch: epoch}},
	})
	return verdict
}

// Two nodes find the lease free and claim it in the same instant. Were both told
// yes, operators would see two nodes give orders to one engine.
func TestFirstClaimWins(t *testing.T) {
	is := is.New(t)
	l := &log{table: NewTable()}
	is.True(l.claim("a", 0, 0).OK())
	is.Equal(l.claim("b", 0, 0).Code, result.NotHolder)
	is.Equal(l.table.Get(job), State{Holder: "a", Epoch: 1, Renewal: 1, TermMS: 10_000})
}

// The holder is slow and another node has waited its term out, but the holder's
// renewal reaches the log just before the claim. Taking over then would leave two
// nodes that both believe they hold the lease.
func TestClaimLosesToUnseenRenewal(t *testing.T) {
	is := is.New(t)
	l := &log{table: NewTable()}
	is.True(l.claim("a", 0, 0).OK())
	is.True(l.claim("a", 1, 1).OK()) // renewal 2
	is.Equal(l.claim("b", 1, 1).Code, result.NotHolder)
	is.True(l.claim("b", 1, 2).OK())
	is.Equal(l.table.Get(job).Epoch, uint64(2))
}

// The former holder wakes up after a takeover and renews or releases. Its word must
// count for nothing, or the new holder would lose its lease to a ghost.
func TestFormerHolderIsRefused(t *testing.T) {
	is := is.New(t)
	l := &log{table: NewTable()}
	l.claim("a", 0, 0)
	is.True(l.claim("b", 1, 1).OK())
	is.Equal(l.claim("a", 1, 1).Code, result.NotHolder)
	is.Equal(l.release("a", 1).Code, result.NotHolder)
	is.Equal(l.table.Get(job).Holder, "b")
}

func TestReleaseFreesTheLeaseAndKeepsTheEpoch(t *testing.T) {
	is := is.New(t)
	l := &log{table: NewTable()}
	l.claim("a", 0, 0)
	is.True(l.release("a", 1).OK())
	is.True(l.claim("b", 1, 0).OK())
	is.Equal(l.table.Get(job).Epoch, uint64(2)) // a fencing number is never used twice
}

func TestSnapshotRestoresLeases(t *testing.T) {
	is := is.New(t)
	l := &log{table: NewTable()}
	l.claim("a", 0, 0)
	data, err := l.table.Snapshot()
	is.NoErr(err)
	restored := NewTable()
	is.NoErr(restored.Restore(data))
	is.Equal(restored.Get(job), l.table.Get(job))
	is.True(NewTable().Restore([]byte("{")) != nil)
}

// Any order of claims and releases by any nodes, with any epoch and renewal named:
// the epoch never falls, and changes exactly when the holder does.
func TestEpochRisesWithEachHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &log{table: NewTable()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := l.table.Get(job)
			writer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "writer")
			epoch := rapid.Uint64Range(0, 6).Draw(t, "epoch")
			if rapid.Bool().Draw(t, "release") {
				l.release(writer, epoch)
			} else {
				l.claim(writer, epoch, rapid.Uint64Range(0, 4).Draw(t, "renewal"))
			}
			after := l.table.Get(job)
			taken := after.Holder != before.Holder && after.Holder != ""
			if taken && after.Epoch != before.Epoch+1 {
				t.Fatalf("holder %q took over from %q without a new epoch", after.Holder, before.Holder)
			}
			if !taken && after.Epoch != before.Epoch {
				t.Fatalf("epoch moved from %d to %d without a new holder", before.Epoch, after.Epoch)
			}
		}
	})
}
