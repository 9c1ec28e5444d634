// Package edgenode assembles one node before the callers: it follows the configuration,
// the upstreams and the other nodes in the store, reports and plans prepaid shares, and
// serves requests through a gateway. It knows nothing of the platform's forms; they come
// in as decoders and topics.
package edgenode
