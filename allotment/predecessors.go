package allotment

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/prepaid"
)

// Earlier is what a node's earlier incarnations left in the store.
type Earlier struct {
	Closings []prepaid.Closing
	Keys     []string
}

// ReadEarlier reads what earlier incarnations of a node reported last. started is the
// instance's boot clock when this process began.
func ReadEarlier(ctx context.Context, spend keyedlog.Topic, node string, started time.Duration, bootID string) (Earlier, error) {
	records, _, err := spend.Newest(ctx)
	if err != nil {
		return Earlier{}, errors.Trace(err)
	}
	var earlier Earlier
	var last []prepaid.Report
	for _, r := range records {
		if !strings.HasPrefix(r.Key, node+"/") || r.Deleted {
			continue
		}
		earlier.Keys = append(earlier.Keys, r.Key)
		report, err := DecodeReport(r.Value)
		if err != nil {
			// Nothing bounds its use but its ceilings.
			earlier.Closings = append(earlier.Closings, prepaid.Closing{Incarnation: strings.TrimPrefix(r.Key, node+"/")})
			continue
		}
		last = append(last, report)
	}
	earlier.Closings = append(earlier.Closings, prepaid.Predecessors(last, started, bootID)...)
	return earlier, nil
}
