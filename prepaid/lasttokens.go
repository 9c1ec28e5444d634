package prepaid

// liftFactor is by how much what is left must exceed the bound before a larger class is admitted
// again, so that the limit doesn't change with each fluctuation of the demand.
const liftFactor = 1.25

// muchSmaller is how many size classes smaller requests must be for a request to be deferred for them:
// between requests of similar size, first come, first served is fair.
const muchSmaller = 2

// maxRequest returns the largest request that is admitted if remaining tokens are left, zero if all
// are. remaining may be negative, as open requests count at their most. current is the limit in force.
func (s *Settings) maxRequest(remaining, prepaid int64, demand *[sizeClasses]int64, current int64) int64 {
	smaller := 0.0
	for class := muchSmaller; class < sizeClasses; class++ {
		smaller += float64(demand[class-muchSmaller])
		bound := min(smaller*s.SmallRequestHorizon.Seconds(), float64(prepaid)*s.MaxKeptFraction)
		if current > 0 && largestOf(class) > current {
			bound *= liftFactor
		}
		if float64(max(0, remaining)) < bound {
			return largestOf(class - 1)
		}
	}
	return 0
}

// limitRequests sets each account's largest admitted request and schedules a grant where it changes,
// which announces it to all nodes. Open requests count at their most.
//
// What is left of an account near its end goes to its smaller requests first: a long prompt takes
// what ten short ones need, and first come, first served would leave most callers without any
// answer. A request is deferred while the account's tokens don't cover SmallRequestHorizon of the
// demand of much smaller ones, but only with no more than MaxKeptFraction of the prepaid total left.
// An account without much smaller requests has none deferred.
func (a *Allocator) limitRequests(members []Member, prepaid, remaining map[string]int64, changed map[string]bool) {
	demand := make(map[string]*[sizeClasses]int64)
	unreserved := make(map[string]int64)
	for _, m := range members {
		for _, l := range m.Report.Lines {
			unreserved[l.Account] -= l.Reserved
			if !m.Live || len(l.DemandBySize) == 0 {
				continue
			}
			if demand[l.Account] == nil {
				demand[l.Account] = &[sizeClasses]int64{}
			}
			for class, rate := range l.DemandBySize[:min(len(l.DemandBySize), sizeClasses)] {
				demand[l.Account][class] += rate
			}
		}
	}
	for name, tokens := range remaining {
		acc := a.account(name)
		limit := int64(0)
		if d := demand[name]; d != nil {
			limit = a.settings.maxRequest(tokens+unreserved[name], prepaid[name], d, acc.maxRequest)
		}
		if limit != acc.maxRequest && a.announce(acc, members, changed) {
			acc.maxRequest = limit
		}
	}
}
