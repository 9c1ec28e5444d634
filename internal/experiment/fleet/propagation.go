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
	inForceTimeout    = 10 * time.Second
	significantDigits = 3
)

// Propagation measures how fast configuration changes reach all nodes.
type Propagation struct {
	Nodes   int
	Changes int
	// Accepted is the time from an operator's call to its response, InForce from the
	// response until the change is in force on a node (0 where it was before the response),
	// and OnLastNode until it is in force on the last one. In microseconds.
	Accepted, InForce, OnLastNode *hdrhistogram.Histogram
	// CrossRegionBytes is the number of bytes sent between the regions for each change, in
	// addition to the traffic of an idle fleet.
	CrossRegionBytes float64
	// ReadOnce is the number of changes that were read over the link exactly once, MaxReads
	// the maximum number of reads of any change.
	ReadOnce, MaxReads int
}

// MeasurePropagation submits changes one after the other, to the nodes in turn.
func MeasurePropagation(count, changes int, delay, interval time.Duration) (Propagation, error) {
	c, err := Start(count, delay)
	if err != nil {
		return Propagation{}, errors.Trace(err)
	}
	defer c.Stop()
	time.Sleep(settleTime)
	p := Propagation{Nodes: count, Changes: changes, Accepted: newHistogram(), InForce: newHistogram(), OnLastNode: newHistogram()}
	idleRate := c.crossRegionRate(time.Duration(changes) * interval)
	before, _ := c.totalTraffic()
	started := time.Now()
	for i := range changes {
		if err := c.measureChange(i, &p); err != nil {
			return Propagation{}, errors.Trace(err)
		}
		time.Sleep(interval)
	}
	after, _ := c.totalTraffic()
	p.CrossRegionBytes = (after.crossRegionBytes - before.crossRegionBytes - idleRate*time.Since(started).Seconds()) / float64(changes)
	p.ReadOnce, p.MaxReads = c.changeReads.readOnce()
	return p, nil
}

const settleTime = 10 * time.Second

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, inForceTimeout.Microseconds(), significantDigits)
}

// crossRegionRate measures the bytes per second sent between the regions.
func (c *Cluster) crossRegionRate(duration time.Duration) float64 {
	before, _ := c.totalTraffic()
	time.Sleep(duration)
	after, _ := c.totalTraffic()
	return (after.crossRegionBytes - before.crossRegionBytes) / duration.Seconds()
}

// measureChange submits one change and records when it was in force on each node.
func (c *Cluster) measureChange(i int, p *Propagation) error {
	name := fmt.Sprint("account-", i)
	var wg sync.WaitGroup
	inForceAt := make([]time.Time, len(c.Nodes))
	for j, n := range c.Nodes {
		changes, stop := n.Watch()
		wg.Go(func() {
			defer stop()
			inForceAt[j] = awaitAccount(changes, name)
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	submitted := time.Now()
	verdict, err := c.Nodes[i%len(c.Nodes)].LogWriter().Submit(accountEntry(name)).Wait(ctx)
	if err != nil || !verdict.OK() {
		return errors.Errorf("change %d: %v %v", i, verdict, err)
	}
	accepted := time.Now()
	wg.Wait()
	last := time.Duration(0)
	for _, at := range inForceAt {
		if at.IsZero() {
			return errors.Errorf("change %d is not in force on all nodes after %s", i, inForceTimeout)
		}
		latency := max(at.Sub(accepted), 0)
		last = max(last, latency)
		_ = p.InForce.RecordValue(max(latency.Microseconds(), 1))
	}
	_ = p.Accepted.RecordValue(max(accepted.Sub(submitted).Microseconds(), 1))
	_ = p.OnLastNode.RecordValue(max(last.Microseconds(), 1))
	return nil
}

func awaitAccount(changes <-chan *operatorv1.VersionedResource, name string) time.Time {
	timeout := time.After(inForceTimeout)
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
