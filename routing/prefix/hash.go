package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a block of the prompt's text.
	BlockBytes = 256
	// BytesPerToken is an estimate for prose.
	BytesPerToken = 4
	// MaxBlocks bounds how much of a prompt is hashed.
	MaxBlocks = 128
)

// Hasher hashes a prompt's text incrementally. The hash of a block is xxHash64 over the hash
// of the previous block (eight bytes, little endian, zero for the first) and the block's
// bytes. An incomplete last block has no hash.
type Hasher struct {
	block  []byte
	hashes []uint64
	length int
}

// Write appends text to the prompt.
func (h *Hasher) Write(text string) {
	h.length += len(text)
	for len(text) > 0 && len(h.hashes) < MaxBlocks {
		n := min(BlockBytes-len(h.block), len(text))
		h.block = append(h.block, text[:n]...)
		text = text[n:]
		if len(h.block) == BlockBytes {
			h.finishBlock()
		}
	}
}

func (h *Hasher) finishBlock() {
	previous := uint64(0)
	if n := len(h.hashes); n > 0 {
		previous = h.hashes[n-1]
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, previous))
	_, _ = digest.Write(h.block)
	h.hashes = append(h.hashes, digest.Sum64())
	h.block = h.block[:0]
}

// Hashes returns the chained hash of each full block so far.
func (h *Hasher) Hashes() []uint64 { return h.hashes }

// Tokens returns an estimate of the prompt's tokens so far.
func (h *Hasher) Tokens() int { return h.length / BytesPerToken }
