package allotment

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/internal/memtopic"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/prepaid"
)

func memoryPartitions(n int) []keyedlog.Topic {
	topics := make([]keyedlog.Topic, n)
	for i := range topics {
		topics[i] = memtopic.New()
	}
	return topics
}

// Guards against a node that finds no reports of its earlier incarnations after the number of
// partitions changed: it would never be granted anything again.
func TestFindsPredecessorsAfterPartitionCountChanged(t *testing.T) {
	is := is.New(t)
	ctx, topics, clock := context.Background(), memoryPartitions(8), &bootclock.Fake{}
	for _, count := range []int{1, 3, 8} {
		for i := range 20 {
			name := fmt.Sprintf("n%02d-%d", i, count)
			before := Topics{Spend: NewPartitions(topics, count), Grants: memtopic.New()}
			is.NoErr(newNode(before, clock, name, "i1").reporter.Report(ctx))
			found, err := ReadPredecessors(ctx, NewPartitions(topics, 5), name, prepaid.ProcessStart{BootID: "boot"}, clockwork.NewFakeClock())
			is.NoErr(err)
			is.Equal(found.ReportKeys, []string{reportKey(name, "i1")})
		}
	}
}

// Guards against ending all allocation while one partition of the store is down.
func TestGrantsWhileOnePartitionIsDown(t *testing.T) {
	is := is.New(t)
	ctx, clock, partitions := context.Background(), &bootclock.Fake{}, memoryPartitions(2)
	topics := Topics{Spend: NewPartitions(partitions, 2), Ledger: memtopic.New(), Grants: memtopic.New()}
	var nodes []*node
	for i := range 8 {
		name := fmt.Sprintf("n%d", i)
		nodes = append(nodes, newNode(topics, clock, name, "i-"+name))
		is.NoErr(nodes[i].reporter.Report(ctx))
	}
	down := partitions[0].(*memtopic.Topic)
	down.Err = errors.New("down")
	term, err := newTestPlanner(topics).beginTerm(ctx)
	is.NoErr(err)
	is.NoErr(term.round(ctx))
	for i, n := range nodes {
		is.NoErr(n.grants.Poll(ctx))
		is.Equal(n.share.Granted(), topics.Spend.Of(fmt.Sprintf("n%d", i)) != partitions[0])
	}
	partitions[1].(*memtopic.Topic).Err = errors.New("down")
	is.True(term.round(ctx) != nil)
}
