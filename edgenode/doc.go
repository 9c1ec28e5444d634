// Package edgenode assembles a node that serves callers: it follows the configuration, the
// upstreams and the other nodes in the store, reports and plans prepaid shares, and serves
// requests through a gateway. It is independent of the platform's formats, which are supplied as
// decoders and topics.
package edgenode
