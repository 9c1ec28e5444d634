// Package health judges upstreams by how their answers went, without asking them.
package health
