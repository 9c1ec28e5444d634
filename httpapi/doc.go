// Package httpapi serves the HTTP API for callers.
//
//	GET  /v1/addresses         which nodes to use, and for how long
//	POST /v1/chat/completions  a completion, as one body or an event stream
//	GET  /v1/streams           the rest of a stream, by Last-Event-ID
//	POST /v1/tickets           a ticket, which makes one plain call run at most once
//	ANY  /s/{service}/...      a call of a plain service
//	GET  /healthz              whether the node serves
package httpapi
