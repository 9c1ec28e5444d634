package httpapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
)

// ticketAnswer is a ticket as callers get it.
type ticketAnswer struct {
	Ticket string `json:"ticket"`
	// ExpiresMS is in Unix milliseconds of the node that issued it.
	ExpiresMS int64 `json:"expires_ms"`
}

func (s *Server) ticket(_ context.Context, c *app.RequestContext) {
	if err := s.node().Serving(); err != nil {
		writeError(c, err)
		return
	}
	text, ticket, err := s.node().Requests().NewTicket(bearer(c))
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(200, ticketAnswer{Ticket: text, ExpiresMS: ticket.GetExpiresMs()})
}
