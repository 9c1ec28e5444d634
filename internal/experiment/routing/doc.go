// Package routing compares policies for upstream selection and admission control in a
// simulation. The picker and the admission scheduler are the production code; engines,
// links and callers are simulated. The same seed always yields the same report.
//
// Every policy sees the same arrivals, engines and faults. The baselines choose among
// the engines of their own region, which lavenderpin also prefers, so that differences
// don't stem merely from the link between the regions. Callers don't retry after a
// refusal.
package routing
