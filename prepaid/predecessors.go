package prepaid

import "time"

// Predecessors turns the last reports that a node's earlier incarnations left in the
// store into what each may have used at most. started is the instance's boot clock when
// the present process began; the earlier ones had ended by then.
func Predecessors(last []Report, started time.Duration, bootID string) []Closing {
	var closings []Closing
	for i := range last {
		closings = append(closings, closing(&last[i], started, bootID))
	}
	return closings
}

func closing(last *Report, started time.Duration, bootID string) Closing {
	c := Closing{Incarnation: last.Incarnation}
	switch {
	case last.Ended:
		c.Known = true
		for _, l := range last.Lines {
			c.Lines = append(c.Lines, ClosingLine{Account: l.Account, Used: l.Spent + l.Held})
		}
	case reserveUnopened(last, started, bootID):
		c.Known = true
		for _, l := range last.Lines {
			c.Lines = append(c.Lines, ClosingLine{Account: l.Account, Used: l.Drawn})
		}
	}
	return c
}

// reserveUnopened tells that the earlier incarnation ended before it could open its
// reserve. A boot clock that went back, or another boot, proves nothing.
func reserveUnopened(last *Report, started time.Duration, bootID string) bool {
	at := started.Milliseconds()
	return last.BootID == bootID && at >= last.SentAtMs && at < last.ReserveAtMs
}
