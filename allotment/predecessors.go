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
}

// ReadPredecessors reads the last reports of a node's earlier incarnations. start is read when
// the process starts; now gives the wall-clock time once the reports are read.
func ReadPredecessors(ctx context.Context, spend keyedlog.Topic, node string, start prepaid.ProcessStart, now prepaid.WallClock) (PredecessorRecords, error) {
	records, _, err := keyedlog.ReadNewest(ctx, spend)
	if err != nil {
		return PredecessorRecords{}, errors.Trace(err)
	}
	var predecessors PredecessorRecords
	var last []prepaid.Report
	timeOfDay := time.Duration(now.Now().UnixNano())
	for _, r := range records {
		if r.Deleted {
			continue
		}
		report, err := DecodeReport(r.Value)
		start.ClockBehind = start.ClockBehind || err == nil && prepaid.ClockIsBehind(timeOfDay, &report)
		if !strings.HasPrefix(r.Key, node+"/") {
			continue
		}
		predecessors.ReportKeys = append(predecessors.ReportKeys, r.Key)
		if err != nil {
			// Only its ceilings bound its use.
			predecessors.FinalUsages = append(predecessors.FinalUsages, prepaid.FinalUsage{Incarnation: strings.TrimPrefix(r.Key, node+"/")})
			continue
		}
		last = append(last, report)
	}
	predecessors.FinalUsages = append(predecessors.FinalUsages, prepaid.FinalUsages(last, start)...)
	return predecessors, nil
}
