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

// ReadPredecessors reads what earlier incarnations of a node reported last. start is read when
// the process begins, now tells the time of day once the reports are read.
func ReadPredecessors(ctx context.Context, spend keyedlog.Topic, node string, start prepaid.ProcessStart, now prepaid.WallClock) (PredecessorRecords, error) {
	records, _, err := keyedlog.ReadNewest(ctx, spend)
	if err != nil {
		return PredecessorRecords{}, errors.Trace(err)
	}
	var earlier PredecessorRecords
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
		earlier.ReportKeys = append(earlier.ReportKeys, r.Key)
		if err != nil {
			// Nothing bounds its use but its ceilings.
			earlier.FinalUsages = append(earlier.FinalUsages, prepaid.FinalUsage{Incarnation: strings.TrimPrefix(r.Key, node+"/")})
			continue
		}
		last = append(last, report)
	}
	earlier.FinalUsages = append(earlier.FinalUsages, prepaid.FinalUsages(last, start)...)
	return earlier, nil
}
