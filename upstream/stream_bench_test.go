package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// Measures reading, parsing, matching and ordering one chunk.
func BenchmarkStreamChunk(b *testing.B) {
	const chunks = 1000
	var body bytes.Buffer
	for i := range chunks {
		fmt.Fprintf(&body, "id: %d\ndata: {\"id\":\"a.1\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word%d \"},\"finish_reason\":null}]}\n\n", i, i)
	}
	fmt.Fprintf(&body, "id: %d\ndata: {\"id\":\"a.1\",\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":%d}}\n\nid: %d\ndata: [DONE]\n\n", chunks, chunks, chunks+1)
	b.ReportAllocs()
	for n := 0; n < b.N; {
		response := protocol.AcquireResponse()
		response.Header.SetContentTypeBytes([]byte("text/event-stream"))
		response.SetBodyStream(bytes.NewReader(body.Bytes()), -1)
		stream, err := newHTTPStream(context.Background(), "u", "a.1", 0, response)
		if err != nil {
			b.Fatal(err)
		}
		for {
			_, err := stream.Next()
			if err == io.EOF {
				break
			}
			if err != nil {
				b.Fatal(err)
			}
			n++
		}
		stream.Close()
	}
}
