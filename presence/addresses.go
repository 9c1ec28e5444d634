package presence

// fewest is how many nodes a data centre must have for its callers to be sent to them
// alone: with one, its loss would leave them without any until they ask again.
const fewest = 2

// Addresses returns where callers of a place should connect: the ready nodes of their
// data centre, or of their region, or all. Callers choose among them at random.
func Addresses(live []Record, dataCentre, region string) []string {
	near := addressesOf(live, func(r Record) bool { return r.DataCentre == dataCentre })
	if len(near) >= fewest {
		return near
	}
	if inRegion := addressesOf(live, func(r Record) bool { return r.Region == region }); len(inRegion) > 0 {
		return inRegion
	}
	return addressesOf(live, func(Record) bool { return true })
}

func addressesOf(live []Record, in func(Record) bool) []string {
	var addresses []string
	for _, r := range live {
		if r.Ready && in(r) {
			addresses = append(addresses, r.Address)
		}
	}
	return addresses
}
