package fleet

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

const (
	// projected is the size of the fleet that the slope is drawn out to.
	projected = 380
	percent   = 100
	kib       = 1 << 10
	mib       = 1 << 20
)

// WriteCosts writes a table of costs and, from the last two sizes, the projection.
func WriteCosts(w io.Writer, costs []Cost) error {
	_, err := fmt.Fprintln(w, "| Nodes | Peer KiB/s a node | busiest node | Log KiB/s a node | Between regions KiB/s, fleet | CPU % of a core a node | Memory MiB a node |\n|---|---|---|---|---|---|---|")
	for _, c := range costs {
		if err == nil {
			err = writeCost(w, fmt.Sprint(c.Nodes), c)
		}
	}
	if err == nil && len(costs) > 1 {
		err = writeCost(w, fmt.Sprint(projected, " (projected)"), project(costs[len(costs)-2], costs[len(costs)-1]))
	}
	if err == nil {
		err = writeParts(w, costs)
	}
	return errors.Trace(err)
}

// writeParts writes what the peer bytes consist of.
func writeParts(w io.Writer, costs []Cost) error {
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

// project draws a straight line through two sizes: an upper bound where the growth is
// logarithmic.
func project(a, b Cost) Cost {
	at := func(x, y float64) float64 {
		return y + (y-x)/float64(b.Nodes-a.Nodes)*float64(projected-b.Nodes)
	}
	return Cost{Nodes: projected, PeerBytes: at(a.PeerBytes, b.PeerBytes), MaxPeerBytes: at(a.MaxPeerBytes, b.MaxPeerBytes),
		LogBytes: at(a.LogBytes, b.LogBytes), CrossRegionBytes: at(a.CrossRegionBytes, b.CrossRegionBytes), CPU: at(a.CPU, b.CPU), Memory: at(a.Memory, b.Memory)}
}

// WritePropagation writes one row for each fleet.
func WritePropagation(w io.Writer, spreads []Propagation) error {
	_, err := fmt.Fprintln(w, "| Nodes | Changes | Accepted p50 / p99 ms | In force p50 / p99 / max ms | On the last node p99 ms | Bytes between regions a change | Read over the link once | Most reads over it |\n|---|---|---|---|---|---|---|---|")
	for _, s := range spreads {
		if err == nil {
			_, err = fmt.Fprintf(w, "| %d | %d | %.1f / %.1f | %.1f / %.1f / %.1f | %.1f | %.0f | %d | %d |\n", s.Nodes, s.Changes,
				at(s.Accepted, 50), at(s.Accepted, 99), at(s.InForce, 50), at(s.InForce, 99), at(s.InForce, 100), at(s.OnLastNode, 99), s.CrossRegionBytes, s.ReadOnce, s.MaxReads)
		}
	}
	return errors.Trace(err)
}

// at returns a percentile in milliseconds.
func at(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
