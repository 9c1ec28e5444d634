package allotment

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/prepaid"
)

// PredecessorRecords is what a node's earlier incarnations left in the store.
type PredecessorRecords struct {
	FinalUsages []prepaid.FinalUsage
	ReportKeys  []string
	// Last is the newest report, by its own timestamp; empty if there is none.
	Last prepaid.Report
}

// ReadPredecessors reads the last reports of a node's earlier incarnations. start is read when
// the process starts; now gives the wall-clock time once the reports are read. A node that finds
// none in its partition looks in the others, unless the fleet starts for the first time: the number
// of partitions may have changed since.
func ReadPredecessors(ctx context.Context, spend Partitions, node string, start prepaid.ProcessStart, now prepaid.WallClock) (PredecessorRecords, error) {
	p := predecessorReader{node: node, start: start, now: now}
	if err := p.read(ctx, spend.Of(node)); err != nil {
		return PredecessorRecords{}, errors.Trace(err)
	}
	if !p.found() && !start.FleetIsNew {
		for _, topic := range spend.others(node) {
			if err := p.read(ctx, topic); err != nil {
				return PredecessorRecords{}, errors.Trace(err)
			}
		}
	}
	p.records.FinalUsages = append(p.records.FinalUsages, prepaid.FinalUsages(p.last, p.start)...)
	return p.records, nil
}

// predecessorReader collects what one node's earlier incarnations left.
type predecessorReader struct {
	node    string
	start   prepaid.ProcessStart
	now     prepaid.WallClock
	records PredecessorRecords
	// last holds the last reports that could be decoded.
	last []prepaid.Report
}

func (p *predecessorReader) found() bool { return len(p.records.ReportKeys) > 0 }

// read reads one partition.
func (p *predecessorReader) read(ctx context.Context, topic keyedlog.Topic) error {
	records, _, err := keyedlog.ReadNewest(ctx, topic)
	if err != nil {
		return errors.Trace(err)
	}
	timeOfDay := time.Duration(p.now.Now().UnixNano())
	for _, r := range records {
		if !r.Deleted {
			p.add(r, timeOfDay)
		}
	}
	return nil
}

// add adds a node's newest report.
func (p *predecessorReader) add(r keyedlog.Record, timeOfDay time.Duration) {
	report, err := DecodeReport(r.Value)
	if err == nil {
		p.start.AddReport(timeOfDay, &report)
	}
	if !strings.HasPrefix(r.Key, p.node+"/") {
		return
	}
	p.records.ReportKeys = append(p.records.ReportKeys, r.Key)
	if err != nil {
		// Only its ceilings bound its use.
		p.records.FinalUsages = append(p.records.FinalUsages, prepaid.FinalUsage{Incarnation: strings.TrimPrefix(r.Key, p.node+"/")})
		return
	}
	p.last = append(p.last, report)
	if report.SentTimeMs >= p.records.Last.SentTimeMs {
		p.records.Last = report
	}
}
