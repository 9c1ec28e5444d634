package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxEventBytes bounds one event in bytes; a longer one is taken for a broken stream.
const MaxEventBytes = 256 << 10

// ErrTooLong tells that an event is longer than MaxEvent.
var ErrTooLong = errors.New("an event is too long")

// Event is one event as it came.
type Event struct {
	// ID is the event's number; HasID is unset if it has none.
	ID    int64
	HasID bool
	// Raw holds the event's bytes with the empty line that ends it. It is valid until
	// the next call of Next.
	Raw []byte
}

// Reader reads events. It isn't safe for concurrent use.
type Reader struct {
	r   *bufio.Reader
	raw []byte
}

// bufferSize is the read buffer in bytes: a few events.
const bufferSize = 2 << 10

// NewReader returns a reader of the stream.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, bufferSize)} }

// Buffered tells whether more of the stream has been read already.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 }

// Next returns the next whole event. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF if the stream ends within an event.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var e Event
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			e.Raw = r.raw
			return e, nil
		}
		e.readID(text)
	}
}

// line reads one line and adds it to the event.
func (r *Reader) line() ([]byte, error) {
	start := len(r.raw)
	for {
		part, err := r.r.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		switch {
		case err == nil:
			return r.raw[start:], nil
		case len(r.raw) > MaxEventBytes:
			return nil, ErrTooLong
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(r.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

func (e *Event) readID(line []byte) {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		e.ID, e.HasID = id, true
	}
}
