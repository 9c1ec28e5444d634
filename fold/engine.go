package fold

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// Engine applies batches to its parts in offset order. It isn't safe for concurrent use: one
// goroutine applies, and readers use the views that the parts publish.
type Engine struct {
	parts   []Part
	offset  uint64
	writers writerTable
}

// NewEngine returns an engine at offset 0 with the given parts, which must be empty.
func NewEngine(parts ...Part) *Engine {
	return &Engine{parts: parts, writers: newWriterTable()}
}

// Offset returns the offset of the last batch applied.
func (e *Engine) Offset() uint64 { return e.offset }

// LastSeq returns the last sequence number applied for a writer; 0 if the writer isn't
// remembered.
func (e *Engine) LastSeq(writer string) uint64 { return e.writers.byName[writer].seq }

// Apply applies one batch and returns a verdict per entry. It returns nil for an offset that
// was already applied: state never goes backwards, even if a peer relays old records.
//
// A batch is rejected as a whole if its sequence number isn't above the writer's last one, or
// if its writer is unknown and the batch isn't the writer's first. Otherwise a batch that was
// appended twice, because the response to the first append was lost, would take effect twice,
// and tokens would be granted twice.
func (e *Engine) Apply(offset uint64, batch *recordv1.Batch) []Verdict {
	verdicts := e.ApplyRecord(offset, []*recordv1.Batch{batch})
	if verdicts == nil {
		return nil
	}
	return verdicts[0]
}

// ApplyRecord applies the batches of one record in order, each as Apply does, and returns the
// verdicts of each. All have the record's offset.
func (e *Engine) ApplyRecord(offset uint64, batches []*recordv1.Batch) [][]Verdict {
	if offset <= e.offset {
		return nil
	}
	e.offset = offset
	verdicts := make([][]Verdict, 0, len(batches))
	for _, batch := range batches {
		verdicts = append(verdicts, e.applyBatch(offset, batch))
	}
	return verdicts
}

func (e *Engine) applyBatch(offset uint64, batch *recordv1.Batch) []Verdict {
	at := Position{Offset: offset, Writer: batch.GetWriter()}
	if !e.writers.admit(at.Writer, batch.GetSeq(), offset) {
		return e.rejectBatch(at, batch)
	}
	verdicts := make([]Verdict, 0, len(batch.GetEntries()))
	for _, entry := range batch.GetEntries() {
		verdicts = append(verdicts, e.applyEntry(at, entry))
	}
	return verdicts
}

func (e *Engine) rejectBatch(at Position, batch *recordv1.Batch) []Verdict {
	verdicts := make([]Verdict, len(batch.GetEntries()))
	for i := range verdicts {
		verdicts[i] = Refuse(at, result.StaleEntry, "the writer's sequence had passed")
	}
	return verdicts
}

func (e *Engine) applyEntry(at Position, entry *recordv1.Entry) Verdict {
	for _, part := range e.parts {
		if verdict, handled := part.Apply(at, entry); handled {
			return verdict
		}
	}
	// The entry is from a newer version of the program or is purely informational (snapshot
	// chunks): no part of this version handles it.
	return Accept(at)
}
