package node

import (
	"crypto/rand"

	"lavenderpin.dev/lavenderpin/admission"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/signed"
	"lavenderpin.dev/lavenderpin/upstream"
)

// nameRequests gives the request server what tickets, keys and cursors need.
func (n *Node) nameRequests() {
	secret := n.settings.TokenSecret
	if len(secret) == 0 {
		// Without a shared secret a cursor or a ticket is good at this node alone.
		secret = make([]byte, signed.MinSecretLen)
		_, _ = rand.Read(secret)
	}
	n.requests.PeerAddress = n.settings.PeerAddress
	n.requests.Cursors = signed.NewSigner(secret, request.CursorPurpose)
	n.requests.Tickets = signed.NewSigner(secret, request.TicketPurpose)
	n.requests.Runner = n.newRunner()
	n.requests.Peers = nodePeers{n}
	if n.requests.Retries == nil {
		n.requests.Retries = admission.NewRetryBudget()
	}
	if resumer, ok := n.deps.Upstreams.(upstream.Resumer); ok {
		n.requests.Resumer = resumer
	}
}
