package recordlog

// leastSwept is the length under which a queue isn't searched for withdrawn tickets.
const leastSwept = 256

// queue holds tickets that wait for a batch. The caller locks.
//
// While the log is out nothing is taken, and each request that gives up leaves its
// withdrawn ticket behind: over hours they would fill the memory of a small instance,
// which would show as a node that dies late in an outage. So withdrawn ones are swept
// out whenever the queue has doubled, at a constant cost for each ticket added.
type queue struct {
	tickets []*Ticket
	sweepAt int
}

func (q *queue) add(ticket *Ticket) {
	if len(q.tickets) >= max(q.sweepAt, leastSwept) {
		q.sweep()
	}
	q.tickets = append(q.tickets, ticket)
}

// take removes and returns the first n tickets, withdrawn ones included.
func (q *queue) take(n int) []*Ticket {
	if len(q.tickets) <= n {
		taken := q.tickets
		q.tickets = nil
		q.sweepAt = 0
		return taken
	}
	taken := q.tickets[:n]
	q.tickets = append([]*Ticket(nil), q.tickets[n:]...)
	return taken
}

func (q *queue) len() int { return len(q.tickets) }

// sweep copies what is left, so that the old room is freed.
func (q *queue) sweep() {
	var left []*Ticket
	for _, ticket := range q.tickets {
		if !ticket.withdrawn() {
			left = append(left, ticket)
		}
	}
	q.tickets = left
	q.sweepAt = 2 * len(left)
}
