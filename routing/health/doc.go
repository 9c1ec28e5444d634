// Package health tracks the health of upstreams passively, from the outcome of their requests.
package health
