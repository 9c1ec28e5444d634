package httpapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
)

// ticketResponse is the JSON encoding of an issued ticket.
type ticketResponse struct {
	Ticket string `json:"ticket"`
	// ExpiresMS is in Unix milliseconds, by the clock of the node that issued the ticket.
	ExpiresMS int64 `json:"expires_ms"`
}

func (s *Server) ticket(_ context.Context, c *app.RequestContext) {
	if err := s.refusal(false); err != nil {
		writeError(c, err)
		return
	}
	text, ticket, err := s.node().Requests().NewTicket(bearerToken(c))
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(200, ticketResponse{Ticket: text, ExpiresMS: ticket.GetExpiresMs()})
}
