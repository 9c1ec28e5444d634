package event

import (
	"bytes"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"
)

// LogLine is an event as a node's log holds it.
type LogLine struct {
	Event
	// Time is the node's time of day, which may be wrong by seconds and may jump.
	Time time.Time
	// Index is the line's place in its file; lines of one node are in order whatever
	// its clock does.
	Index int
}

// ReadLog reads the events out of a log. Lines that aren't events, or are cut off, are
// counted and passed over; so is whatever a collector put before a line's first pair.
func ReadLog(r io.Reader) (lines []LogLine, skipped int, err error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	for order, text := range bytes.Split(raw, []byte("\n")) {
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		line, ok := parseLine(text)
		if !ok {
			skipped++
			continue
		}
		line.Index = order
		lines = append(lines, line)
	}
	return lines, skipped, nil
}

func parseLine(text []byte) (LogLine, bool) {
	if start := bytes.Index(text, []byte("level=")); start > 0 {
		text = text[start:]
	}
	line := LogLine{Event: Event{Fields: make(map[string]string)}}
	d := logfmt.NewDecoder(bytes.NewReader(text))
	if !d.ScanRecord() {
		return LogLine{}, false
	}
	for d.ScanKeyval() {
		line.take(string(d.Key()), string(d.Value()))
	}
	return line, d.Err() == nil && line.Number.Kind().Name != ""
}

func (l *LogLine) take(key, value string) {
	switch key {
	case "event":
		number, err := strconv.ParseUint(value, 10, 32)
		if err == nil {
			l.Number = Number(number)
		}
	case "ts":
		at, err := time.Parse(time.RFC3339Nano, value)
		if err == nil {
			l.Time = at
		}
	case "node":
		l.Node = value
	case "level", "name":
	default:
		l.Fields[key] = value
	}
}

// Trace returns the lines that carry an id in any field, of all nodes together. Each
// node's lines keep their order; nodes follow each other by the time of their first line.
func Trace(lines []LogLine, id string) []LogLine {
	var story []LogLine
	first := make(map[string]time.Time)
	for _, l := range lines {
		if !l.carries(id) {
			continue
		}
		story = append(story, l)
		if at, ok := first[l.Node]; !ok || l.Time.Before(at) {
			first[l.Node] = l.Time
		}
	}
	slices.SortStableFunc(story, func(x, y LogLine) int {
		if x.Node == y.Node {
			return x.Index - y.Index
		}
		if c := first[x.Node].Compare(first[y.Node]); c != 0 {
			return c
		}
		return strings.Compare(x.Node, y.Node)
	})
	return story
}
