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
// to send. All nodes work it out from the same records, so that their shares add up to 1. A node that isn't among
// those that hold a share, in its own view, has as little as one without callers: the others may count without it.
func SendShare(holding []Record, own Record, to Place) float64 {
	listed := listedNodes(holding)
	ownWeight, total := unlistedWeight*placeWeight(own, to), 0.0
	for _, r := range holding {
		weight := sendWeight(r, to, listed)
		if r.Node == own.Node {
			ownWeight = weight
			continue
		}
		total += weight
	}
	return ownWeight / (total + ownWeight)
}

// listedNodes returns the names of the nodes whose addresses are always given to callers of their region.
func listedNodes(nodes []Record) map[string]bool {
	regions := make(map[string][]Record)
	for _, r := range nodes {
		regions[r.Region] = append(regions[r.Region], r)
	}
	listed := make(map[string]bool, len(nodes))
	for _, region := range regions {
		large, _ := splitBySize(region)
		for _, r := range large {
			listed[r.Node] = true
		}
	}
	return listed
}

func sendWeight(r Record, to Place, listed map[string]bool) float64 {
	weight := placeWeight(r, to)
	if !listed[r.Node] || !r.Ready && !r.Leaving {
		weight *= unlistedWeight
	}
	return weight
}

func placeWeight(r Record, to Place) float64 {
	switch {
	case r.DataCentre == to.DataCentre:
		return dataCentreWeight
	case r.Region == to.Region:
		return regionWeight
	default:
		return farWeight
	}
}
