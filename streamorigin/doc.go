// Package streamorigin keeps which version of the upstreams' software began each stream, so that a stream goes
// on only there: what two versions write doesn't fit together, and upstreams don't check it.
package streamorigin
