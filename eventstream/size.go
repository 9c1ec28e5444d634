package eventstream

const (
	// maxTokenBytes bounds what a token takes in a stream, in bytes: its text and what an event tells of it.
	maxTokenBytes = 4 << 10
	// maxOverheadBytes is what a stream may take beside its tokens, in bytes.
	maxOverheadBytes = 64 << 10
	// MaxStreamBytes bounds the events of a stream together, in bytes; the longest answers have a few megabytes.
	MaxStreamBytes = 64 << 20
)

// MaxBytes returns the most bytes that a stream of at most the given number of tokens can have.
func MaxBytes(tokens uint64) uint64 {
	if tokens >= MaxStreamBytes/maxTokenBytes {
		return MaxStreamBytes
	}
	return min(tokens*maxTokenBytes+maxOverheadBytes, MaxStreamBytes)
}
