package fleet

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

const (
	// projectedNodes is the fleet size that costs are extrapolated to.
	projectedNodes = 380
	percent        = 100
	kib            = 1 << 10
	mib            = 1 << 20
)

// WriteCosts writes tables of costs, with a projection from the last two fleet sizes.
func WriteCosts(w io.Writer, costs []Cost) error {
	_, err := fmt.Fprintln(w, "| Nodes | Peer KiB/s a node | busiest node | Log KiB/s a node | Between regions KiB/s, fleet | CPU % of a core a node | Memory MiB a node |\n|---|---|---|---|---|---|---|")
	for _, c := range costs {
		if err == nil {
			err = writeCost(w, fmt.Sprint(c.Nodes), c)
		}
	}
	if err == nil && len(costs) > 1 {
		err = writeCost(w, fmt.Sprint(projectedNodes, " (projected)"), extrapolateCost(costs[len(costs)-2], costs[len(costs)-1]))
	}
	if err == nil {
		err = writeTrafficBreakdown(w, costs)
	}
	return errors.Trace(err)
}

// writeTrafficBreakdown writes the components of the peer traffic.
func writeTrafficBreakdown(w io.Writer, costs []Cost) error {
	_, err := fmt.Fprintln(w, "\n| Nodes | Datagrams/s sent | Pings/s | Log reads/s | In pings B/s | In log reads B/s | In others B/s | Framing and headers B/s |\n|---|---|---|---|---|---|---|---|")
	for _, c := range costs {
		if err == nil {
			_, err = fmt.Fprintf(w, "| %d | %.1f | %.2f | %.2f | %.0f | %.0f | %.0f | %.0f |\n", c.Nodes, c.Datagrams, c.Pings, c.Reads,
				c.PingBytes, c.ReadBytes, c.OtherBytes, c.PeerBytes-c.PingBytes-c.ReadBytes-c.OtherBytes)
		}
	}
	return errors.Trace(err)
}

func writeCost(w io.Writer, name string, c Cost) error {
	_, err := fmt.Fprintf(w, "| %s | %.2f | %.2f | %.2f | %.1f | %.2f | %.1f |\n", name, c.PeerBytes/kib, c.MaxPeerBytes/kib,
		c.LogBytes/kib, c.CrossRegionBytes/kib, c.CPU*percent, c.Memory/mib)
	return err
}

// extrapolateCost extrapolates linearly from two fleet sizes: an upper bound where the
// growth is logarithmic.
func extrapolateCost(a, b Cost) Cost {
	extrapolate := func(x, y float64) float64 {
		return y + (y-x)/float64(b.Nodes-a.Nodes)*float64(projectedNodes-b.Nodes)
	}
	return Cost{Nodes: projectedNodes, PeerBytes: extrapolate(a.PeerBytes, b.PeerBytes),
		MaxPeerBytes:     extrapolate(a.MaxPeerBytes, b.MaxPeerBytes),
		LogBytes:         extrapolate(a.LogBytes, b.LogBytes),
		CrossRegionBytes: extrapolate(a.CrossRegionBytes, b.CrossRegionBytes), CPU: extrapolate(a.CPU, b.CPU), Memory: extrapolate(a.Memory, b.Memory)}
}

// WritePropagation writes a Markdown table with one row for each fleet.
func WritePropagation(w io.Writer, propagations []Propagation) error {
	_, err := fmt.Fprintln(w, "| Nodes | Changes | Accepted p50 / p99 ms | In force p50 / p99 / max ms | On the last node p99 ms | Bytes between regions a change | Read over the link once | Most reads over it |\n|---|---|---|---|---|---|---|---|")
	for _, p := range propagations {
		if err == nil {
			_, err = fmt.Fprintf(w, "| %d | %d | %.1f / %.1f | %.1f / %.1f / %.1f | %.1f | %.0f | %d | %d |\n", p.Nodes, p.Changes,
				percentileMS(p.Accepted, 50), percentileMS(p.Accepted, 99), percentileMS(p.InForce, 50), percentileMS(p.InForce, 99),
				percentileMS(p.InForce, 100), percentileMS(p.OnLastNode, 99), p.CrossRegionBytes, p.ReadOnce, p.MaxReads)
		}
	}
	return errors.Trace(err)
}

// percentileMS returns a percentile of a histogram of microseconds, in milliseconds.
func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
