package fold

import (
	"sort"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

const (
	// keptWriters is how many writers are surely remembered, those with the latest
	// batches: three weeks at 380 nodes that are all replaced daily.
	keptWriters = 8192
	// pruneWriters is how many are held before the oldest are forgotten.
	pruneWriters = 2 * keptWriters
	// firstSeq is the sequence of every writer's first batch.
	firstSeq = 1
)

// writers remembers the last sequence of each writer, within a bound.
//
// Forgetting a writer must not let a late repetition of one of its batches take
// effect: it would show as a top-up or a grant made twice. So a writer that isn't
// remembered is admitted with its first batch only. A writer appends batch n+1 only
// when batch n is in the log, so a new one always comes with its first, and the
// repetition of any later batch is void. A repeated first batch could pass only
// once keptWriters other incarnations were opened after it, while the log holds an
// append back for a few seconds at most.
type writers struct {
	held map[string]writer
}

type writer struct {
	seq    uint64
	offset uint64
}

func newWriters() writers { return writers{held: map[string]writer{}} }

// admit tells whether the batch is new, and remembers it.
func (w *writers) admit(name string, seq, offset uint64) bool {
	last, known := w.held[name]
	if seq <= last.seq || (!known && seq != firstSeq) {
		return false
	}
	w.held[name] = writer{seq: seq, offset: offset}
	if len(w.held) > pruneWriters {
		w.prune()
	}
	return true
}

// prune looks at offsets only, so that all nodes forget the same writers at the
// same record.
func (w *writers) prune() {
	offsets := make([]uint64, 0, len(w.held))
	for _, held := range w.held {
		offsets = append(offsets, held.offset)
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] > offsets[j] })
	oldest := offsets[keptWriters-1]
	for name, held := range w.held {
		if held.offset < oldest {
			delete(w.held, name)
		}
	}
}

func (w *writers) save() []*recordv1.WriterState {
	saved := make([]*recordv1.WriterState, 0, len(w.held))
	for name, held := range w.held {
		saved = append(saved, &recordv1.WriterState{Writer: name, Seq: held.seq, Offset: held.offset})
	}
	sort.Slice(saved, func(i, j int) bool { return saved[i].GetWriter() < saved[j].GetWriter() })
	return saved
}

func restoreWriters(saved []*recordv1.WriterState) writers {
	w := newWriters()
	for _, s := range saved {
		w.held[s.GetWriter()] = writer{seq: s.GetSeq(), offset: s.GetOffset()}
	}
	return w
}
