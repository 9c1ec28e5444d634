package gateway

import (
	"strconv"
	"time"

	"lavenderpin.dev/lavenderpin/internal/latency"
)

// stage is a part of a request's way through the node.
type stage int

// The stages, in the order in which they are logged.
const (
	// stageUnread: arrived, and not read by the process yet.
	stageUnread stage = iota
	// stageTurn: its first byte was read, and its handler hadn't its turn yet.
	stageTurn
	// stageBody: the rest of it was read.
	stageBody
	// stageAdmit: decided on, until it was first sent on.
	stageAdmit
	// stageConnect: a connection to an upstream was opened or found, over all sends.
	stageConnect
	// stageAnswer: written to an upstream, until the head of the answer had been read, over all sends.
	stageAnswer
	// stageDeliver: the answer was written to the caller's connection.
	stageDeliver
	stageCount
)

var stageNames = [stageCount]string{"unread", "turn", "body", "admit", "connect", "answer", "deliver"}

// stages are how long a request spent at each stage.
type stages [stageCount]time.Duration

// String returns the milliseconds of all stages.
func (s *stages) String() string {
	text := make([]byte, 0, 4*stageCount)
	for i, d := range s {
		if i > 0 {
			text = append(text, '/')
		}
		text = strconv.AppendInt(text, d.Milliseconds(), 10)
	}
	return string(text)
}

func (m *Metrics) recordStages(s *stages) {
	for i, d := range s {
		m.stages.Add(stageNames[i]+"_"+latency.Bucket(d), 1)
	}
}
