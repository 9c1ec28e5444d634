// Package throttle limits what a node sends to an upstream by what the upstream says of itself in its answers, beside
// a pause that it asked for (package directory and routing) and its load. Limiter is the one place that decides
// whether a node may open another request there.
//
// An upstream may say that it is brittle: that it falls over if it has to reject more than a few requests
// within a second. Nobody knows at the time of a send how many requests of other nodes are under way, so that
// each node keeps to a window of open requests: at first its share of the upstream's slots, more while requests
// succeed, half of it after a rejection. After a rejection it also sends nothing for as long as all nodes
// together need to stay within the limit. Requests beyond the windows wait or are rejected here, where a
// rejection costs nothing.
//
// An upstream may also name how many requests a second it takes from all nodes together. Each node takes turns
// at its part of that rate, by a clock of its own, which starts at a random moment. A turn that no request takes
// within a second is lost, so that the turns of many nodes are not kept for the same moment. What one node
// doesn't know of the others costs no messages, and they together keep to the rate. The same holds for an upstream
// that is cold: the configuration names how many requests a second it takes until it is warm.
//
// An upstream that started or recovered is ramped up where that is enabled: the nodes together may have a part of its
// slots open, each its share. The part grows while answers begin on time and report no queue, and shrinks otherwise.
package throttle
