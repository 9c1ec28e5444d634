package relay

import "sync"

// pulse wakes all who wait, again and again. The zero value is ready. It is safe for
// concurrent use.
type pulse struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait returns what the next beat closes.
func (p *pulse) wait() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == nil {
		p.next = make(chan struct{})
	}
	return p.next
}

func (p *pulse) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next != nil {
		close(p.next)
		p.next = nil
	}
}
