package recordlog

// minCompactLen is the length below which a queue isn't compacted.
const minCompactLen = 256

// queue holds tickets that wait for a batch. The caller must hold the writer's lock.
//
// While the log is down nothing is taken, and each request that gives up leaves its
// withdrawn ticket behind. Over hours these would exhaust the memory of a small instance
// and kill the node late in an outage. So withdrawn tickets are removed whenever the queue
// has doubled, at a constant amortized cost per ticket added.
type queue struct {
	tickets   []*Ticket
	compactAt int
}

func (q *queue) add(ticket *Ticket) {
	if len(q.tickets) >= max(q.compactAt, minCompactLen) {
		q.compact()
	}
	q.tickets = append(q.tickets, ticket)
}

// take removes and returns the first n tickets, withdrawn ones included.
func (q *queue) take(n int) []*Ticket {
	if len(q.tickets) <= n {
		taken := q.tickets
		q.tickets = nil
		q.compactAt = 0
		return taken
	}
	taken := q.tickets[:n]
	q.tickets = append([]*Ticket(nil), q.tickets[n:]...)
	return taken
}

func (q *queue) len() int { return len(q.tickets) }

// compact removes withdrawn tickets by copying the others, so that the old array is freed.
func (q *queue) compact() {
	var kept []*Ticket
	for _, ticket := range q.tickets {
		if !ticket.withdrawn() {
			kept = append(kept, ticket)
		}
	}
	q.tickets = kept
	q.compactAt = 2 * len(kept)
}
