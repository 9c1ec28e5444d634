package fold

import (
	"sort"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

const (
	// minKeptWriters is the number of writers that are always remembered, those with the latest
	// batches: three weeks at 380 nodes that are all replaced daily.
	minKeptWriters = 8192
	// pruneThreshold is the number of writers kept before the oldest are pruned.
	pruneThreshold = 2 * minKeptWriters
	// firstSeq is the sequence number of every writer's first batch.
	firstSeq = 1
)

// writerTable holds the last sequence number of each writer, within a bound.
//
// Pruning a writer must not let a late duplicate of one of its batches take effect: a top-up or
// a grant would be made twice. So only the first batch of an unknown writer is admitted. A
// writer appends batch n+1 only once batch n is in the log, so a new writer always starts with
// its first batch, and a duplicate of any later batch is rejected. A duplicate first batch
// could be admitted only after minKeptWriters other incarnations were opened since, whereas the
// log delays an append by a few seconds at most.
type writerTable struct {
	byName map[string]writerPosition
}

type writerPosition struct {
	seq    uint64
	offset uint64
}

func newWriterTable() writerTable { return writerTable{byName: map[string]writerPosition{}} }

// admit reports whether the batch is new, and records it if so.
func (w *writerTable) admit(name string, seq, offset uint64) bool {
	last, known := w.byName[name]
	if seq <= last.seq || (!known && seq != firstSeq) {
		return false
	}
	w.byName[name] = writerPosition{seq: seq, offset: offset}
	if len(w.byName) > pruneThreshold {
		w.prune()
	}
	return true
}

// prune depends on offsets only, so that all nodes forget the same writers at the same record.
func (w *writerTable) prune() {
	offsets := make([]uint64, 0, len(w.byName))
	for _, position := range w.byName {
		offsets = append(offsets, position.offset)
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] > offsets[j] })
	oldest := offsets[minKeptWriters-1]
	for name, position := range w.byName {
		if position.offset < oldest {
			delete(w.byName, name)
		}
	}
}

func (w *writerTable) save() []*recordv1.WriterState {
	saved := make([]*recordv1.WriterState, 0, len(w.byName))
	for name, position := range w.byName {
		saved = append(saved, &recordv1.WriterState{Writer: name, Seq: position.seq, Offset: position.offset})
	}
	sort.Slice(saved, func(i, j int) bool { return saved[i].GetWriter() < saved[j].GetWriter() })
	return saved
}

func restoreWriterTable(saved []*recordv1.WriterState) writerTable {
	w := newWriterTable()
	for _, s := range saved {
		w.byName[s.GetWriter()] = writerPosition{seq: s.GetSeq(), offset: s.GetOffset()}
	}
	return w
}
