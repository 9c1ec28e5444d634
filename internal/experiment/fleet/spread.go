package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

const (
	inForceLimit = 10 * time.Second
	figures      = 3
)

// Propagation is how accepted changes reach all nodes.
type Propagation struct {
	Nodes   int
	Changes int
	// Accepted is from an operator's call to its answer, InForce from the answer
	// until the change is in force on a node (0 where it was before the answer), and
	// OnLastNode until it is on the last one. In microseconds.
	Accepted, InForce, OnLastNode *hdrhistogram.Histogram
	// CrossRegionBytes is what crossed between the regions for each change beyond what the
	// fleet sends without changes.
	CrossRegionBytes float64
	// ReadOnce is how many of the changes were read over the link exactly once, and MaxReads is
	// how often the one was that was read most.
	ReadOnce, MaxReads int
}

// MeasurePropagation makes changes one after the other, at nodes in turn.
func MeasurePropagation(count, changes int, delay, pause time.Duration) (Propagation, error) {
	c, err := Start(count, delay)
	if err != nil {
		return Propagation{}, errors.Trace(err)
	}
	defer c.Stop()
	time.Sleep(restBefore)
	s := Propagation{Nodes: count, Changes: changes, Accepted: newHistogram(), InForce: newHistogram(), OnLastNode: newHistogram()}
	quiet := c.crossedIn(time.Duration(changes) * pause)
	before, _ := c.total()
	started := time.Now()
	for i := range changes {
		if err := c.change(i, &s); err != nil {
			return Propagation{}, errors.Trace(err)
		}
		time.Sleep(pause)
	}
	after, _ := c.total()
	s.CrossRegionBytes = (after.crossed - before.crossed - quiet*time.Since(started).Seconds()) / float64(changes)
	s.ReadOnce, s.MaxReads = c.crossings.once()
	return s, nil
}

const restBefore = 10 * time.Second

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, inForceLimit.Microseconds(), figures)
}

// crossedIn returns the bytes a second that cross without changes.
func (c *Cluster) crossedIn(length time.Duration) float64 {
	before, _ := c.total()
	time.Sleep(length)
	after, _ := c.total()
	return (after.crossed - before.crossed) / length.Seconds()
}

// change makes one change and records when each node had it in force.
func (c *Cluster) change(i int, s *Propagation) error {
	name := fmt.Sprint("account-", i)
	var wait sync.WaitGroup
	times := make([]time.Time, len(c.Nodes))
	for j, n := range c.Nodes {
		changes, stop := n.Watch()
		wait.Go(func() {
			defer stop()
			times[j] = awaitName(changes, name)
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), inForceLimit)
	defer cancel()
	asked := time.Now()
	verdict, err := c.Nodes[i%len(c.Nodes)].LogWriter().Submit(accountEntry(name)).Wait(ctx)
	if err != nil || !verdict.OK() {
		return errors.Errorf("change %d: %v %v", i, verdict, err)
	}
	answered := time.Now()
	wait.Wait()
	last := time.Duration(0)
	for _, at := range times {
		if at.IsZero() {
			return errors.Errorf("change %d isn't in force everywhere after %s", i, inForceLimit)
		}
		took := max(at.Sub(answered), 0)
		last = max(last, took)
		_ = s.InForce.RecordValue(max(took.Microseconds(), 1))
	}
	_ = s.Accepted.RecordValue(max(answered.Sub(asked).Microseconds(), 1))
	_ = s.OnLastNode.RecordValue(max(last.Microseconds(), 1))
	return nil
}

func awaitName(changes <-chan *operatorv1.VersionedResource, name string) time.Time {
	timeout := time.After(inForceLimit)
	for {
		select {
		case r := <-changes:
			if r.GetResource().GetAccount().GetName() == name {
				return time.Now()
			}
		case <-timeout:
			return time.Time{}
		}
	}
}

func accountEntry(name string) *recordv1.Entry {
	return &recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{ChangeId: name, Operator: "measure",
		Changes: []*operatorv1.Change{{Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{
			Account: &operatorv1.Account{Name: name, Team: "team"}}}}}}}}
}
