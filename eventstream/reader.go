package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxEventBytes is the maximum size of an event; a longer event means a broken stream.
const MaxEventBytes = 256 << 10

// ErrTooLong is returned for an event longer than MaxEventBytes.
var ErrTooLong = errors.New("event exceeds the maximum size")

// Event is one event as received.
type Event struct {
	// ID is the event's numeric ID. HasID is false if the event has none.
	ID    int64
	HasID bool
	// Raw holds the event's bytes, including the empty line that terminates it. It is
	// valid until the next call of Next.
	Raw []byte
}

// Reader reads events. It isn't safe for concurrent use.
type Reader struct {
	br  *bufio.Reader
	raw []byte
}

// bufferSize is the size of the read buffer in bytes, enough for a few events.
const bufferSize = 2 << 10

// NewReader returns a Reader that reads events from r.
func NewReader(r io.Reader) *Reader { return &Reader{br: bufio.NewReaderSize(r, bufferSize)} }

// Buffered reports whether unprocessed data of the stream is buffered.
func (r *Reader) Buffered() bool { return r.br.Buffered() > 0 }

// Next returns the next complete event. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF if the stream ends within an event.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var e Event
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			e.Raw = r.raw
			return e, nil
		}
		e.readID(content)
	}
}

// readLine reads one line and appends it to the raw event.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.raw)
	for {
		chunk, err := r.br.ReadSlice('\n')
		r.raw = append(r.raw, chunk...)
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
