package streamorigin

// exclusion concludes that a stream began at the base version of its service: the store has no record of it, and all nodes
// that may have begun it at another version deny that.
type exclusion struct {
	// origin is the base, nil if nothing can be concluded. marked are the incarnations that must deny the stream.
	origin *Origin
	marked []incarnation
	// void reports that a node answered that begins streams without a mark, as earlier releases do.
	void bool
	// denied are the incarnations that deny the stream, answered the names of the nodes that answered or couldn't.
	denied   map[incarnation]bool
	answered map[string]bool
}

func newExclusion() exclusion {
	return exclusion{denied: make(map[incarnation]bool), answered: make(map[string]bool)}
}

// consider takes into account what the store says of a stream that it has no record of.
func (e *exclusion) consider(v *view, request Request) {
	base, marked := v.base(request.Service), v.marked[request.Service]
	if base == "" || request.Attempt == "" || len(marked) > maxMarkedAsked {
		return
	}
	e.origin, e.marked = &Origin{Service: request.Service, Version: base}, marked
}

// add takes the answer of another node that doesn't know the stream into account.
func (e *exclusion) add(answer peerAnswer) {
	e.answered[answer.node] = true
	if answer.err != nil {
		return
	}
	if answer.reply.Incarnation == "" {
		e.void = true
	}
	if answer.reply.Complete {
		e.denied[incarnation{answer.node, answer.reply.Incarnation}] = true
	}
}

// conclude returns the base if the stream must have begun there.
func (e *exclusion) conclude() (Resolution, bool) {
	if e.origin == nil || e.void {
		return Resolution{}, false
	}
	for _, m := range e.marked {
		if !e.denied[m] {
			return Resolution{}, false
		}
	}
	return Resolution{*e.origin, OnlyBase}, true
}

// giveUp makes the conclusion impossible unless it can be drawn already.
func (e *exclusion) giveUp() {
	if _, concluded := e.conclude(); !concluded {
		e.origin = nil
	}
}

// awaits reports whether a node must deny the stream and hasn't answered yet.
func (e *exclusion) awaits(node string) bool {
	if e.origin == nil || e.answered[node] {
		return false
	}
	for _, m := range e.marked {
		if m.node == node && !e.denied[m] {
			return true
		}
	}
	return false
}

// isPending reports whether the nodes that were asked may still complete the conclusion.
func (e *exclusion) isPending(asked map[string]bool) bool {
	if e.origin == nil || e.void {
		return false
	}
	for _, m := range e.marked {
		if !e.denied[m] && (e.answered[m.node] || !asked[m.node]) {
			return false
		}
	}
	return true
}
