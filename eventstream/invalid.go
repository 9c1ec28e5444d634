package eventstream

import "fmt"

// Reason tells why a block of lines isn't the next event of a stream.
type Reason string

// Reasons.
const (
	// NoID: the block has no ID.
	NoID Reason = "no_id"
	// BadID: the ID isn't a positive decimal number, or there are several.
	BadID Reason = "bad_id"
	// NoData: the event has no data; receivers drop such events.
	NoData Reason = "no_data"
	// BadLine: a line isn't a field of an event.
	BadLine Reason = "bad_line"
	// BadText: the block isn't UTF-8, or holds characters that end a line or a text for some receivers only.
	BadText Reason = "bad_text"
	// Repeated: the ID is one that the response has passed.
	Repeated Reason = "repeated"
	// Missing: the ID leaves out events.
	Missing Reason = "missing"
	// Restarted: a response that is to go on with a stream begins with its first event.
	Restarted Reason = "restarted"
	// Early: the response ended before an event that is known.
	Early Reason = "early"
	// TooMany: the stream has more events than it can have.
	TooMany Reason = "too_many"
	// TooLong: the event, or all events together, are longer than they can be.
	TooLong Reason = "too_long"
)

// InvalidError is the error of a block that isn't the next event of a stream.
type InvalidError struct {
	Reason Reason
	// Due is the ID that was due.
	Due int64
	// Event is the block; its Raw is valid until the reader's next call.
	Event Event
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("event %d was due, %d bytes came that are no such event (%s)", e.Due, len(e.Event.Raw), e.Reason)
}
