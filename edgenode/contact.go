package edgenode

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
)

// contactInterval is how often the contact with the upstreams is summed up.
const contactInterval = 500 * time.Millisecond

// contactLevel says how many of a service's upstreams don't answer this node.
type contactLevel string

const (
	allAnswer  contactLevel = "all"
	someAnswer contactLevel = "some"
	noneAnswer contactLevel = "none"
)

func levelOf(c directory.Contact) contactLevel {
	switch {
	case c.Silent == 0:
		return allAnswer
	case c.Answering+c.Idle > 0:
		return someAnswer
	default:
		return noneAnswer
	}
}

// watchContact logs when this node loses or regains contact with some or all upstreams of a
// service. Compared between nodes, it tells a lost path from upstreams that failed.
func (n *Node) watchContact(ctx context.Context) {
	logged := make(map[string]contactLevel)
	periodic.Run(ctx, clockwork.NewRealClock(), contactInterval, func(context.Context) {
		for service, c := range n.UpstreamContact() {
			level := levelOf(c)
			if before, known := logged[service]; level == before || !known && level == allAnswer {
				continue
			}
			logged[service] = level
			n.deps.Events.Record(event.UpstreamContact, "service", service, "answer", string(level), "answering", c.Answering, "silent", c.Silent, "idle", c.Idle)
		}
	})
}

// UpstreamContact returns the contact with the upstreams of each service, by name.
func (n *Node) UpstreamContact() map[string]directory.Contact {
	now, snapshot := n.deps.Clock.Now(), n.directory.Current()
	contact := make(map[string]directory.Contact)
	for _, service := range snapshot.Services() {
		contact[service] = snapshot.Contact(service, now)
	}
	return contact
}
