package allotment

import (
	"github.com/cespare/xxhash/v2"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Partitions are the partitions of the topic of reports. A partition processes its appends one at
// a time, and a starting node reads all records of its partition: one partition for hundreds of
// nodes delays their reports and fills the links when all of them start at once.
type Partitions struct {
	topics []keyedlog.Topic
	active int
}

// NewPartitions returns partitions of which the first active ones are written. The others may hold
// reports of incarnations that ran with a larger number.
func NewPartitions(topics []keyedlog.Topic, active int) Partitions {
	return Partitions{topics: topics, active: max(1, min(active, len(topics)))}
}

// Of returns the partition that holds the reports of a node.
func (p Partitions) Of(node string) keyedlog.Topic { return p.topics[p.index(node)] }

func (p Partitions) index(node string) int {
	return int(xxhash.Sum64String(node) % uint64(p.active))
}

// others returns all partitions but the one that holds the reports of a node.
func (p Partitions) others(node string) []keyedlog.Topic {
	own := p.index(node)
	return append(append([]keyedlog.Topic(nil), p.topics[:own]...), p.topics[own+1:]...)
}

// Map returns partitions in which each topic is replaced.
func (p Partitions) Map(replace func(keyedlog.Topic) keyedlog.Topic) Partitions {
	topics := make([]keyedlog.Topic, len(p.topics))
	for i, topic := range p.topics {
		topics[i] = replace(topic)
	}
	return Partitions{topics: topics, active: p.active}
}
