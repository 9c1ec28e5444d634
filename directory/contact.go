package directory

import "time"

const (
	// answeredWindow is how recently an upstream must have sent something to count as answering.
	answeredWindow = 2 * time.Second
	// silentThreshold is the silence towards open requests after which an upstream counts as not
	// answering. Prompts wait longer than that only under overload, and then events of other
	// streams arrive meanwhile.
	silentThreshold = time.Second
)

// Contact counts the upstreams of a service by whether this node hears from them.
type Contact struct {
	// Answering sent something recently. Silent don't answer open requests or can't be connected
	// to. The others weren't asked for anything.
	Answering int `json:"answering"`
	Silent    int `json:"silent"`
	Idle      int `json:"idle"`
}

// Contact returns the counts for a service.
func (s *Snapshot) Contact(service string, now time.Duration) Contact {
	var c Contact
	for _, u := range s.services[service] {
		switch {
		case u.InBackoff(now), u.Silence(now) >= silentThreshold:
			c.Silent++
		case u.ReceivedWithin(answeredWindow, now):
			c.Answering++
		default:
			c.Idle++
		}
	}
	return c
}

// Services returns the names of the services that have upstreams, in no particular order.
func (s *Snapshot) Services() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	return names
}
