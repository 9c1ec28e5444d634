package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// MaxEventBytes is the maximum size of an event; a longer event means a broken stream.
const MaxEventBytes = 256 << 10

// ErrTooLong is returned for an event longer than MaxEventBytes.
var ErrTooLong = errors.New("event exceeds the maximum size")

// Event is one block of lines as received, up to an empty line. It is data from outside: Sequence tells whether it is an event of
// the stream.
type Event struct {
	// ID is the event's numeric ID. HasID is false if the event has none.
	ID    int64
	HasID bool
	// Raw holds the event's bytes, including the empty line that terminates it. It is
	// valid until the next call of Next.
	Raw []byte
	// defect is why the block can't be an event; empty if it can.
	defect Reason
	// hasData and hasComment report what it has, isBlank that it is nothing but comments and empty lines.
	hasData, hasComment, isBlank bool
}

// IsBlank reports whether the block is nothing but comments and empty lines.
func (e *Event) IsBlank() bool { return e.isBlank }

// Defect returns why the block can't be an event of a numbered stream; empty if it can.
func (e *Event) Defect() Reason { return e.defect }

// Reader reads events. It isn't safe for concurrent use.
type Reader struct {
	br  *bufio.Reader
	raw []byte
	// lineStart is where the line that was read last begins in raw.
	lineStart int
	// last is the block that was read last, whole or not.
	last Event
	// numericFields are the names of further fields that an event may have, whose values are decimal numbers.
	numericFields []string
}

// bufferSize is the size of the read buffer in bytes, enough for a few events.
const bufferSize = 2 << 10

// NewReader returns a Reader that reads events from r. Beside the fields of server-sent events, an event may have numeric ones
// of the given names.
func NewReader(r io.Reader, numericFields ...string) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, bufferSize), numericFields: numericFields}
}

// BrokeOffWithin reports whether the stream broke off within the event of the given ID. isNext is whether that is the
// response's next event: one that broke off before the end of its ID is taken for it.
func (r *Reader) BrokeOffWithin(id int64, isNext bool) bool {
	e := &r.last
	switch {
	case e.Raw != nil || e.defect != "":
		return false
	case e.HasID:
		return e.ID == id
	case !isNext || !e.isBlank:
		return isNext
	}
	unfinished := string(bytes.TrimSuffix(r.raw[r.lineStart:], []byte{'\r'}))
	number := strconv.FormatInt(id, 10)
	return unfinished != "" && (strings.HasPrefix("id: "+number, unfinished) || strings.HasPrefix("id:"+number, unfinished))
}

// Buffered reports whether unprocessed data of the stream is buffered.
func (r *Reader) Buffered() bool { return r.br.Buffered() > 0 }

// Next returns the next complete event. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF if the stream ends within an event.
func (r *Reader) Next() (Event, error) {
	r.raw, r.lineStart = r.raw[:0], 0
	r.last = Event{isBlank: true}
	e := &r.last
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			e.Raw = r.raw
			e.finish()
			return *e, nil
		}
		content := bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
		e.addLine(content, r.numericFields)
	}
}

// readLine reads one line and appends it to the raw event.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.raw)
	r.lineStart = start
	for {
		chunk, err := r.br.ReadSlice('\n')
		r.raw = append(r.raw, chunk...)
		switch {
		case len(r.raw) > MaxEventBytes:
			return nil, ErrTooLong
		case err == nil:
			return r.raw[start:], nil
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(r.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// addLine adds a line of the block.
func (e *Event) addLine(line []byte, numericFields []string) {
	if line[0] == ':' {
		e.hasComment = true
		return
	}
	e.isBlank = false
	name, value, found := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch {
	case !found:
		e.setDefect(BadLine)
	case string(name) == "data":
		e.hasData = true
	case string(name) == "id":
		e.addID(value)
	case string(name) == "event":
	case string(name) == "retry" || isAmong(numericFields, name):
		if _, ok := parseDecimal(value); !ok {
			e.setDefect(BadLine)
		}
	default:
		e.setDefect(BadLine)
	}
}

// addID adds the block's ID.
func (e *Event) addID(value []byte) {
	id, ok := parseDecimal(value)
	if !ok || e.HasID {
		e.setDefect(BadID)
		return
	}
	e.ID, e.HasID = id, true
}

// finish examines the block as a whole.
func (e *Event) finish() {
	switch {
	case !isText(e.Raw):
		e.isBlank = false
		e.setDefect(BadText)
	case e.isBlank:
	case !e.HasID:
		e.setDefect(NoID)
	case !e.hasData:
		e.setDefect(NoData)
	case e.hasComment:
		e.setDefect(BadLine)
	}
}

// setDefect records why the block can't be an event, unless that is known.
func (e *Event) setDefect(reason Reason) {
	if e.defect == "" {
		e.defect = reason
	}
}
