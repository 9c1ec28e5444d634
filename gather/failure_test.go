package gather_test

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/gather"
	"lavenderpin.dev/lavenderpin/internal/experiment/appends"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/membership"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/record"
	"lavenderpin.dev/lavenderpin/recordlog"
)

// fleet is a data centre of nodes a, b, c… that gather.
type fleet struct {
	*appends.Fleet
	nodes []*appends.Node
}

// newFleet starts nodes that gather by way of one log and append for themselves by way
// of another, nil for the fleet's own.
func newFleet(t *testing.T, count int, gathered, alone ports.Log) *fleet {
	policy := gather.DefaultPolicy()
	policy.MinFleetNodes = 0
	f := &fleet{Fleet: appends.NewFleet(t.Context(), clockwork.NewRealClock(), policy)} // fake within the bubble
	for i := range count {
		f.nodes = append(f.nodes, f.Add(info(string(rune('a'+i))), cmp.Or[ports.Log](gathered, f.Log), cmp.Or[ports.Log](alone, f.Log)))
	}
	return f
}

// inFleet runs a test over nodes that reach the log, in fake time.
func inFleet(t *testing.T, count int, run func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) { run(is.New(t), newFleet(t, count, nil, nil)) })
}

// roles returns the node that gathers when all see all, and another one.
func (f *fleet) roles() (gatherer, other *appends.Node) {
	chosen := gather.ChooseGatherer(f.nodes[0].Info, f.Seen(f.nodes[0].Name()), from(1))
	for _, n := range f.nodes {
		if n.Info == chosen {
			gatherer = n
		} else {
			other = n
		}
	}
	return gatherer, other
}

// submit writes an entry of each node.
func (f *fleet) submit(tokens uint64) {
	for _, n := range f.nodes {
		n.Submit(tokens)
	}
}

// counted checks what took effect of a node's entries, once all has arrived.
func (f *fleet) counted(is *is.I, n *appends.Node, want ...uint64) {
	is.Helper()
	time.Sleep(time.Minute)
	is.Equal(f.Folded.Of(n.Name()), want)
}

// silent calls a node and never answers, as one that is dead or cut off.
func silent(ctx context.Context, _ string, _ func() *fleetv1.Response) (*fleetv1.Response, error) {
	<-ctx.Done()
	return nil, errors.Trace(ctx.Err())
}

const answer = time.Second

// perRound is how many records take the batches that all nodes submit in one instant: the
// first one what the gatherer has at once, and one the rest after its interval.
const perRound = 2

// batchesOf counts the batches in records.
func batchesOf(is *is.I, records []ports.Record) int {
	is.Helper()
	batches := 0
	for _, r := range records {
		held, err := record.Decode(r.Data)
		is.NoErr(err)
		batches += len(held)
	}
	return batches
}

// All nodes settle at once. The first batches go at once, and one record takes all that
// come while the gatherer waits for its interval.
func TestBatchesAreCombinedIntoFewRecords(t *testing.T) {
	inFleet(t, 10, func(is *is.I, f *fleet) {
		for range 3 {
			f.submit(7)
			time.Sleep(time.Second)
		}
		is.True(len(f.Records()) <= 3*perRound)
		is.Equal(batchesOf(is, f.Records()), 30)
		for _, n := range f.nodes {
			f.counted(is, n, 7, 7, 7)
		}
	})
}

// A gatherer appends no more often than its policy allows, however often it is asked.
func TestGathererLimitsAppendRate(t *testing.T) {
	inFleet(t, 5, func(is *is.I, f *fleet) {
		for range 500 {
			f.submit(1)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.True(len(f.Records()) <= 52) // 5 s at ten a second, and the rest
	})
}

// The gatherer's process dies. Its nodes' first claims wait for the answer that never
// comes, a second each; without the rest after it every further one would wait again
// until the members notice, and requests would be refused meanwhile.
func TestDeadGathererDelaysOneAppend(t *testing.T) {
	inFleet(t, 5, func(is *is.I, f *fleet) {
		dead, n := f.roles()
		f.OnCall = silent
		dead.Stop()
		is.Equal(n.Took(1), appends.Soon+answer)
		is.Equal(n.Took(2), appends.Soon)
		is.Equal(n.Appender.Fallbacks(), uint64(1))
		f.Remove(dead) // the members noticed
		f.OnCall = nil
		time.Sleep(gather.DefaultPolicy().MinBackoff)
		is.Equal(n.Took(3), appends.Soon)
		synctest.Wait()
		is.Equal(n.Appender.Forwarded(), uint64(1)) // another one gathers
		f.counted(is, n, 1, 2, 3)
	})
}

// A gatherer is paused in the middle of its append, as by a machine that swaps, and
// goes on half a minute later. Its nodes have appended for themselves since; were the
// late batch to count again, money would be granted or billed twice.
func TestLateAppendOfPausedGathererIsVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		paused := &heldLog{hold: 30 * time.Second}
		f := newFleet(t, 5, paused, nil)
		paused.Log = f.Log
		_, n := f.roles()
		is.Equal(n.Took(1), appends.Soon+answer)
		is.Equal(n.Took(2), appends.Soon)
		is.Equal(len(f.Records()), 2)
		f.counted(is, n, 1, 2)
		is.Equal(len(f.Records()), 3) // the late one came, and is void
	})
}

// The gatherer's answer is lost after its append took effect. The writer reads its
// batch back and goes on: nobody waits, and nothing is appended twice.
func TestLostResponseIsResolvedByReadBack(t *testing.T) {
	inFleet(t, 5, func(is *is.I, f *fleet) {
		f.OnCall = func(ctx context.Context, to string, handle func() *fleetv1.Response) (*fleetv1.Response, error) {
			handle()
			return silent(ctx, to, handle)
		}
		_, n := f.roles()
		is.Equal(n.Took(1), appends.Soon)
		is.True(n.Took(2) < answer)
		is.Equal(len(f.Records()), 2)
		is.Equal(n.Appender.Fallbacks(), uint64(0))
		f.counted(is, n, 1, 2)
	})
}

// A batch is handed on, its writer gives up and appends it and the next ones itself,
// and only then the first reaches the gatherer.
func TestBatchForwardedLateIsVoid(t *testing.T) {
	inFleet(t, 5, func(is *is.I, f *fleet) {
		f.OnCall = func(ctx context.Context, to string, handle func() *fleetv1.Response) (*fleetv1.Response, error) {
			time.AfterFunc(20*time.Second, func() { handle() })
			return silent(ctx, to, handle)
		}
		_, n := f.roles()
		for tokens := range uint64(3) {
			n.Took(tokens)
		}
		is.Equal(len(f.Records()), 3)
		f.counted(is, n, 0, 1, 2)
		is.Equal(len(f.Records()), 4) // the late one came, and is void
	})
}

// Each half of a data centre sees only itself, so that two nodes gather. Both append;
// nothing is lost and nothing counts twice.
func TestConcurrentGatherersApplyOnce(t *testing.T) {
	inFleet(t, 10, func(is *is.I, f *fleet) {
		f.Views = func(name string, all []membership.Member) []membership.Member {
			return slices.DeleteFunc(all, func(m membership.Member) bool { return (m.Node.GetIncarnation() < "f") != (name < "f") })
		}
		f.submit(1)
		gatherers := 0
		for _, n := range f.nodes {
			f.counted(is, n, 1)
			if n.Gatherer.Appends() > 0 {
				gatherers++
			}
		}
		is.Equal(gatherers, 2)
	})
}

// The gatherer is cut off from the log and its nodes are not. It says so, and they
// append for themselves, ever longer, in place of asking it before each batch.
func TestGathererCutOffFromLogIsBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		down := standin.NewLog()
		down.SetDown(true)
		f := newFleet(t, 5, down, nil)
		_, n := f.roles()
		const rounds = 300
		for tokens := range uint64(rounds) {
			is.True(n.Took(tokens) < answer)
			time.Sleep(time.Second)
		}
		is.Equal(len(f.Folded.Of(n.Name())), rounds)
		is.True(n.Appender.Fallbacks() <= 9) // after 5, 10, 20, 40 and then each 60 s
	})
}

// A fleet is updated node by node. One of the earlier version would take a gathered or
// packed record for an empty one, and grant and bill otherwise than all others: until the
// last of them has gone, every record is one that it reads.
func TestOldNodesReceivePlainRecords(t *testing.T) {
	inFleet(t, 5, func(is *is.I, f *fleet) {
		f.Old.Store(true)
		f.submit(1)
		time.Sleep(time.Second)
		records := f.Records()
		is.Equal(len(records), 5)
		for _, held := range records {
			is.NoErr(record.CheckJoinable(held.Data)) // plain, of one writer
		}
		f.Old.Store(false)
		f.submit(2)
		for _, n := range f.nodes {
			f.counted(is, n, 1, 2)
		}
		gathered := f.Records()[5:]
		is.True(len(gathered) <= perRound)
		is.Equal(batchesOf(is, gathered), 5)
	})
}

// Two operators change one resource by way of two nodes at the same moment. In one record
// both changes would make the same version, and whoever saw the first could overwrite the
// second without being told of it. So each gets an offset of its own.
func TestConfigurationChangesAreNotGathered(t *testing.T) {
	inFleet(t, 5, func(is *is.I, f *fleet) {
		f.submit(1)
		time.Sleep(time.Second)
		before := len(f.Records())
		offsets := map[uint64]bool{}
		var tickets []*recordlog.Ticket
		for _, n := range f.nodes {
			tickets = append(tickets, n.Writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{ChangeId: n.Name()}}}))
		}
		for _, ticket := range tickets {
			offsets[(<-ticket.Done()).Offset] = true
		}
		is.Equal(len(offsets), 5)
		is.Equal(len(f.Records()), before+5)
	})
}

// A node that stops answers what it holds for others at once, and they append it.
func TestStoppedGathererFailsBatchesAtOnce(t *testing.T) {
	inFleet(t, 5, func(is *is.I, f *fleet) {
		gatherer, n := f.roles()
		n.Took(1)
		ticket := n.Submit(2)
		time.Sleep(2 * appends.Soon) // handed on, and held for the gatherer's interval
		gatherer.Stop()
		began := time.Now()
		<-ticket.Done()
		is.Equal(time.Since(began), time.Duration(0))
		f.counted(is, n, 1, 2)
	})
}

// A gatherer whose log doesn't answer holds a bounded amount for others.
func TestGathererQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const tried, bound = 100, 8 << 20
		g := gather.NewGatherer(standin.NewLog(), appends.Stream, clockwork.NewRealClock(), gather.DefaultPolicy(), func() bool { return true }) // not running yet
		var refused atomic.Int32
		for range tried {
			go func() {
				if _, err := g.Append(t.Context(), batchOf(t, "a", bound/tried*2), answer); err != nil {
					refused.Add(1)
				}
			}()
		}
		synctest.Wait()
		is.True(refused.Load() >= tried/2)
		is.True(g.QueuedBytes() <= bound)
		time.Sleep(2 * answer) // their writers have all given up
		go g.Run(t.Context())
		time.Sleep(answer)
		is.Equal(g.QueuedBytes(), 0)
		is.Equal(g.Appends(), uint64(0))
	})
}
