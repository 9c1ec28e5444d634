package fold

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// Engine applies batches to its parts in offset order. It isn't safe for
// concurrent use: one goroutine folds, readers use the views the parts publish.
type Engine struct {
	parts   []Part
	offset  uint64
	writers writers
}

// NewEngine returns an engine at offset 0 over empty parts.
func NewEngine(parts ...Part) *Engine {
	return &Engine{parts: parts, writers: newWriters()}
}

// Offset returns the offset of the last batch applied.
func (e *Engine) Offset() uint64 { return e.offset }

// LastSeq returns the last sequence folded for a writer.
func (e *Engine) LastSeq(writer string) uint64 { return e.writers.held[writer].seq }

// Apply folds one batch and returns a verdict per entry. It returns nil for an
// offset that was applied before: state never goes backwards, even when a peer
// relays old records.
//
// A batch whose sequence isn't above the writer's last one is void as a whole, as
// is one of an unknown writer that isn't its first.
// Without this, a batch appended twice because the answer to the first append was
// lost would take effect twice, which would show as money granted twice.
func (e *Engine) Apply(offset uint64, batch *recordv1.Batch) []Verdict {
	verdicts := e.ApplyRecord(offset, []*recordv1.Batch{batch})
	if verdicts == nil {
		return nil
	}
	return verdicts[0]
}

// ApplyRecord applies the batches of one record, in their order, as Apply does one,
// and returns the verdicts of each. All have the record's offset.
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
		return e.void(at, batch)
	}
	verdicts := make([]Verdict, 0, len(batch.GetEntries()))
	for _, entry := range batch.GetEntries() {
		verdicts = append(verdicts, e.applyEntry(at, entry))
	}
	return verdicts
}

func (e *Engine) void(at Position, batch *recordv1.Batch) []Verdict {
	verdicts := make([]Verdict, len(batch.GetEntries()))
	for i := range verdicts {
		verdicts[i] = Refuse(at, result.StaleEntry, "the writer's sequence had passed")
	}
	return verdicts
}

func (e *Engine) applyEntry(at Position, entry *recordv1.Entry) Verdict {
	for _, part := range e.parts {
		if verdict, mine := part.Apply(at, entry); mine {
			return verdict
		}
	}
	// An entry of a newer version of the program, or one that only informs
	// (snapshot chunks): no part of this version acts on it.
	return Accept(at)
}
