package request

import (
	"fmt"
	"testing"

	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/upstream"
)

// discardSink is a streaming Sink that discards every chunk.
type discardSink struct{ testSink }

func (*discardSink) Chunk(string, upstream.Chunk) error { return nil }

// Measures one chunk from the engine's client to the sink, cursor included.
func BenchmarkPassChunk(b *testing.B) {
	s := newFixture(b, standin.EngineOptions{})
	n := s.newServer("0c2f7f0e-7b0e-4a9c-9f9e-1d7b3c1c1e55")
	grant, err := n.Reserver.Reserve(b.Context(), "budget", 10)
	if err != nil {
		b.Fatal(err)
	}
	run := &chatRun{server: n.Server, account: s.config.View().Account("account"), service: s.config.View().Service("chat"),
		grant: grant, sink: &discardSink{testSink{stream: true}}}
	run.beginAnswer(s.config.View().Upstreams("chat")[0])
	words := make([]string, 256)
	for i := range words {
		words[i] = fmt.Sprint("word", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if err := run.handleChunk(b.Context(), upstream.Chunk{Number: uint64(i), Content: words[i%len(words)]}); err != nil {
			b.Fatal(err)
		}
	}
}
