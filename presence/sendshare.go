package presence

// Place is where an upstream is.
type Place struct{ DataCentre, Region string }

// Upstreams near a node are chosen for most of its requests. The weights tell how many requests a node sends to
// an upstream of its data centre and of its region, compared with one of another region.
const (
	dataCentreWeight = 4.0
	regionWeight     = 2.0
	farWeight        = 1.0
	// unlistedWeight multiplies the weight of a node that callers aren't sent to: it has few of them, but must
	// not exceed a limit together with its like.
	unlistedWeight = 0.02
)

// SendShare returns the share, from 0 to 1, of the requests of all nodes to an upstream that one node is expected
// to send. All nodes work it out from the same records, so that their shares add up to 1.
func SendShare(live []Record, own Record, to Place) float64 {
	listed := listedNodes(live, own)
	ownWeight := sendWeight(own, to, listed)
	total := ownWeight
	for _, r := range live {
		if r.Node != own.Node {
			total += sendWeight(r, to, listed)
		}
	}
	return ownWeight / total
}

// listedNodes returns the names of the nodes whose addresses are always given to callers of their region.
func listedNodes(live []Record, own Record) map[string]bool {
	regions := map[string][]Record{own.Region: {own}}
	for _, r := range live {
		if r.Node != own.Node {
			regions[r.Region] = append(regions[r.Region], r)
		}
	}
	listed := make(map[string]bool, len(live))
	for _, region := range regions {
		large, _ := splitBySize(region)
		for _, r := range large {
			listed[r.Node] = true
		}
	}
	return listed
}

func sendWeight(r Record, to Place, listed map[string]bool) float64 {
	weight := farWeight
	switch {
	case r.DataCentre == to.DataCentre:
		weight = dataCentreWeight
	case r.Region == to.Region:
		weight = regionWeight
	}
	if !listed[r.Node] || !r.Ready || r.Leaving {
		weight *= unlistedWeight
	}
	return weight
}
