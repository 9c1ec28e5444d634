package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// openStream asks an engine that sends one chunk and then does as it is told; left is
// closed when the engine sees its connection gone.
func openStream(t *testing.T, ctx context.Context, then string) (stream ChatStream, left <-chan struct{}) {
	gone := make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: 0\ndata: {\"id\":\"a.1\",\"choices\":[{\"delta\":{\"content\":\"one\"}}]}\n\n%s", then)
		w.(http.Flusher).Flush()
		if then == "" {
			<-r.Context().Done()
			close(gone)
		}
	}))
	t.Cleanup(engine.Close)
	client, err := NewHTTPClient()
	is.New(t).NoErr(err)
	t.Cleanup(client.Close)
	stream, err = client.Chat(ctx, &operatorv1.Upstream{Name: "e", Address: strings.TrimPrefix(engine.URL, "http://")},
		ChatRequest{ID: "a.1", Body: []byte(`{}`)})
	is.New(t).NoErr(err)
	chunk, err := stream.Next()
	is.New(t).NoErr(err)
	is.New(t).Equal(chunk.Content, "one")
	return stream, gone
}

// An engine hangs within an answer and its caller leaves. The request must end now and
// the engine learn of it: else the caller's tokens stay reserved, and the engine's slot
// taken, until the engine is given up on.
func TestCancelClosesAHangingStream(t *testing.T) {
	is := is.New(t)
	ctx, leave := context.WithCancel(context.Background())
	stream, left := openStream(t, ctx, "")
	ended := make(chan error)
	go func() {
		_, err := stream.Next()
		stream.Close()
		ended <- err
	}()
	leave()
	is.Equal(result.CodeOf(<-ended), result.AnswerCut)
	<-left
}

// An answer is given up in the middle, as when another engine's repetition differs.
// Were its connection kept, it would be read to the end for nobody.
func TestCloseDropsAnUnfinishedStreamsConnection(t *testing.T) {
	stream, left := openStream(t, context.Background(), "")
	stream.Close()
	<-left
}

func TestCompleteStreamEndsWithEOF(t *testing.T) {
	is := is.New(t)
	stream, _ := openStream(t, context.Background(),
		"id: 1\ndata: {\"id\":\"a.1\",\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\nid: 2\ndata: [DONE]\n\n")
	chunk, err := stream.Next()
	is.NoErr(err)
	is.Equal(chunk.Usage.Total(), uint64(2))
	for range 2 {
		_, err = stream.Next()
		is.Equal(err, io.EOF)
	}
	stream.Close()
}
