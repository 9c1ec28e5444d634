// Package digest lets a large fleet follow the upstreams without each node reading every
// heartbeat of each of them. A few keepers read the upstreams' entries and write what
// changed into a topic of the fleet's own; the other nodes follow that.
//
// Read by all, 3,000 upstreams' heartbeats come to 600 kB a second and node. Three hundred
// nodes together want twice what the store hands out; then changes of the configuration
// wait behind heartbeats, and requests on new routes are refused as unknown.
//
// Keepers write independently of each other, each in the order in which it read, so that
// the loss of one is not noticed. A keeper that lags may bring an upstream back for as long
// as it lags, and takes it away itself.
package digest
