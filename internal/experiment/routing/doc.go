// Package routing compares ways of choosing upstreams and of admitting requests, side
// by side over the engine model. The picker and the admission core are those that
// nodes run; engines, links and callers are models in model time. One seed gives one
// report.
//
// Every policy sees the same arrivals, engines and faults. The baselines choose among
// the engines of their own region, as lavenderpin does first, so that a difference
// isn't merely the link between the regions. Callers don't come back after a refusal.
package routing
