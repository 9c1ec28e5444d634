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

// LogLine is an event read from a node's log.
type LogLine struct {
	Event
	// Time is the node's wall clock time, which may be off by seconds and may jump.
	Time time.Time
	// Index is the line's position in its file. It orders the lines of one node even if
	// the node's clock jumps.
	Index int
}

// ReadLog parses the events of a log. Lines that aren't events or are truncated are
// skipped and counted. Any prefix that a log collector put before a line's first
// key=value pair is ignored.
func ReadLog(r io.Reader) (lines []LogLine, skipped int, err error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	for index, text := range bytes.Split(raw, []byte("\n")) {
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		line, ok := parseLogLine(text)
		if !ok {
			skipped++
			continue
		}
		line.Index = index
		lines = append(lines, line)
	}
	return lines, skipped, nil
}

func parseLogLine(text []byte) (LogLine, bool) {
	if start := bytes.Index(text, []byte("level=")); start > 0 {
		text = text[start:]
	}
	line := LogLine{Event: Event{Fields: make(map[string]string)}}
	d := logfmt.NewDecoder(bytes.NewReader(text))
	if !d.ScanRecord() {
		return LogLine{}, false
	}
	for d.ScanKeyval() {
		line.setField(string(d.Key()), string(d.Value()))
	}
	return line, d.Err() == nil && line.Number.Kind().Name != ""
}

func (l *LogLine) setField(key, value string) {
	switch key {
	case "event":
		number, err := strconv.ParseUint(value, 10, 32)
		if err == nil {
			l.Number = Number(number)
		}
	case "ts":
		t, err := time.Parse(time.RFC3339Nano, value)
		if err == nil {
			l.Time = t
		}
	case "node":
		l.Node = value
	case "level", "name":
	default:
		l.Fields[key] = value
	}
}

// Trace returns the lines of all nodes that have an id in any field. The lines of a node
// keep their order, and nodes are ordered by the time of their first line.
func Trace(lines []LogLine, id string) []LogLine {
	var matched []LogLine
	firstTime := make(map[string]time.Time)
	for _, l := range lines {
		if !l.mentions(id) {
			continue
		}
		matched = append(matched, l)
		if t, ok := firstTime[l.Node]; !ok || l.Time.Before(t) {
			firstTime[l.Node] = l.Time
		}
	}
	slices.SortStableFunc(matched, func(x, y LogLine) int {
		if x.Node == y.Node {
			return x.Index - y.Index
		}
		if c := firstTime[x.Node].Compare(firstTime[y.Node]); c != 0 {
			return c
		}
		return strings.Compare(x.Node, y.Node)
	})
	return matched
}
