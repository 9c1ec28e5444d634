package node

import (
	"crypto/rand"

	"lavenderpin.dev/lavenderpin/admission"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/signed"
)

// configureRequests sets the request server's dependencies for call tickets, idempotency keys
// and stream cursors.
func (n *Node) configureRequests() {
	secret := n.settings.TokenSecret
	if len(secret) == 0 {
		// Without a shared secret, cursors and tickets are valid on this node only.
		secret = make([]byte, signed.MinSecretLen)
		_, _ = rand.Read(secret)
	}
	n.requests.PeerAddress = n.settings.PeerAddress
	n.requests.Cursors = signed.NewSigner(secret, request.CursorPurpose)
	n.requests.Tickets = signed.NewSigner(secret, request.TicketPurpose)
	n.requests.Runner = n.newRunner()
	n.requests.Peers = requestPeers{n}
	if n.requests.Retries == nil {
		n.requests.Retries = admission.NewRetryBudget()
	}
	if n.upstreams.Streams != nil {
		n.requests.Resumer = n.upstreams
	}
}
