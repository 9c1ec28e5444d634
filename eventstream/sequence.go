package eventstream

import "math"

// firstID is the ID of a stream's first event.
const firstID = 1

// Sequence checks that the events of one response follow one another: they count the events of the stream, so each has
// the ID after the one before. A response that goes on with a stream may repeat events before the one that is due, but not
// begin with the stream's first: that is another run from its beginning.
type Sequence struct {
	// due is the ID of the next event that the receiver lacks, next that of the next event of the response; zero before its first.
	due, next int64
	// last is the highest ID that the stream can have.
	last int64
}

// NewSequence returns the check of a response whose receiver has the events up to after, of a stream whose IDs are at most maxID;
// zero if that isn't known.
func NewSequence(after, maxID int64) *Sequence {
	s := &Sequence{due: after + 1, last: math.MaxInt64 - 1}
	if maxID > 0 {
		s.last = min(s.last, maxID)
	}
	return s
}

// Due returns the ID of the next event that the receiver lacks.
func (s *Sequence) Due() int64 { return s.due }

// NextIsDue reports whether the next event of the response is the one that the receiver lacks.
func (s *Sequence) NextIsDue() bool { return s.next == s.due || s.next == 0 && s.due == firstID }

// Check returns an *InvalidError unless the event is the next one of the response, or nothing but comments and empty lines.
// isDue reports whether the receiver lacks the event.
func (s *Sequence) Check(e Event) (isDue bool, err error) {
	if e.isBlank {
		return false, nil
	}
	if reason := s.defect(e); reason != "" {
		return false, &InvalidError{Reason: reason, Due: max(s.due, s.next), Event: e}
	}
	s.next = e.ID + 1
	if e.ID < s.due {
		return false, nil
	}
	s.due = s.next
	return true, nil
}

// CheckEnd returns an *InvalidError if the response ended before the last event that the receiver has. An answer without an event
// may go on with a stream that is complete.
func (s *Sequence) CheckEnd() error {
	if s.next != 0 && s.next < s.due {
		return &InvalidError{Reason: Early, Due: s.next}
	}
	return nil
}

// HasEvents reports whether the response brought an event.
func (s *Sequence) HasEvents() bool { return s.next != 0 }

// defect returns why an event isn't the next one; empty if it is.
func (s *Sequence) defect(e Event) Reason {
	first := s.next == 0
	switch {
	case e.defect != "":
		return e.defect
	case !first && e.ID < s.next, first && e.ID < firstID:
		return Repeated
	case !first && e.ID > s.next, first && e.ID > s.due:
		return Missing
	case first && e.ID == firstID && s.due > firstID:
		return Restarted
	case e.ID > s.last:
		return TooMany
	}
	return ""
}
