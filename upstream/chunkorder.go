package upstream

import "lavenderpin.dev/lavenderpin/result"

// ChunkOrder checks what follows on what in an answer: nothing but the usage on the finish reason, and nothing on the usage. An
// answer whose response was interrupted is checked over all of its responses. The zero value is the check of an answer from its
// beginning.
type ChunkOrder struct {
	numbering numbering
	finished  bool
	// UsageSeen is set once the answer's token count has come.
	UsageSeen bool
	usageLast bool
}

// Add returns an error if a chunk can't follow on those before it.
func (o *ChunkOrder) Add(c Chunk) error {
	switch {
	case o.usageLast:
		return result.New(result.AnswerCut, "a chunk follows on the usage")
	case o.finished && (c.hasChoices || c.Usage == nil):
		return result.New(result.AnswerCut, "a chunk follows on the finish reason")
	}
	if c.numbering != numberingUnknown {
		if err := o.numbering.check(c.numbering == numberedChunks); err != nil {
			return err
		}
	}
	o.finished = o.finished || c.FinishReason != ""
	o.UsageSeen = o.UsageSeen || c.Usage != nil
	// Some engines add the count so far to each chunk.
	o.usageLast = c.Usage != nil && !c.hasChoices && c.Content == "" && c.FinishReason == ""
	return nil
}

// Complete returns an error if the answer's token count hasn't come.
func (o *ChunkOrder) Complete() error {
	if o.UsageSeen {
		return nil
	}
	return result.New(result.AnswerCut, "the answer ended without usage")
}
