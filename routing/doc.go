// Package routing chooses the upstream for a request.
package routing
