package snapshot

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

const (
	// chunkBytes keeps an append well below the usual limit of 4 MiB per message.
	chunkBytes = 512 << 10
	// maxChunks bounds the chunks that a collector holds of one writer.
	maxChunks = 512
)

// Split splits a sealed state, taken at an offset, into the chunks of a snapshot.
func Split(offset uint64, sealed []byte) []*recordv1.SnapshotChunk {
	count := (len(sealed) + chunkBytes - 1) / chunkBytes
	chunks := make([]*recordv1.SnapshotChunk, 0, count)
	for index := range count {
		end := min((index+1)*chunkBytes, len(sealed))
		chunks = append(chunks, &recordv1.SnapshotChunk{
			Offset: offset, Index: uint32(index), Count: uint32(count), Data: sealed[index*chunkBytes : end],
		})
	}
	return chunks
}
