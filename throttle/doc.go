// Package throttle limits what a node sends to an upstream by what the upstream says of itself in its answers.
//
// An upstream may say that it is brittle: that it falls over if it has to reject more than a few requests
// within a second. Nobody knows at the time of a send how many requests of other nodes are under way, so that
// each node keeps to a window of open requests: at first its share of the upstream's slots, more while requests
// succeed, half of it after a rejection. After a rejection it also sends nothing for as long as all nodes
// together need to stay within the limit. Requests beyond the windows wait or are rejected here, where a
// rejection costs nothing.
package throttle
