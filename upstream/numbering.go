package upstream

import "lavenderpin.dev/lavenderpin/result"

// numbering tells whether an engine numbers the chunks of a stream: all of them or none.
type numbering int

const (
	numberingUnknown numbering = iota
	numberedChunks
	unnumberedChunks
)

// check returns an error if a chunk has a number and one before it has none, or the reverse.
func (n *numbering) check(numbered bool) error {
	now := unnumberedChunks
	if numbered {
		now = numberedChunks
	}
	if *n != numberingUnknown && *n != now {
		return result.New(result.AnswerCut, "some chunks of the stream have a number and others none")
	}
	*n = now
	return nil
}
