package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/metadata"
)

const (
	// responseWords makes a response that takes about one second at the engines' token rate.
	responseWords = 200
	// eventsBeforeKill is how many events a caller has received when its node is killed.
	eventsBeforeKill = 20
	doneMarker       = "[DONE]"
)

// resumableStream is a streamed response that its caller collects over several connections.
type resumableStream struct {
	lines   *bufio.Scanner
	text    strings.Builder
	lastID  string
	tokens  uint64
	events  int
	done    bool
	failure string
}

// connect continues the stream on another connection.
func (s *resumableStream) connect(body io.Reader) { s.lines = bufio.NewScanner(body) }

// read reads events until the response or the connection ends, or until s.events reaches
// limit. An event counts only once its terminating empty line is read.
func (s *resumableStream) read(limit int) {
	fields := map[string]string{}
	for s.events < limit && !s.done && s.lines.Scan() {
		if s.lines.Text() != "" {
			name, value, _ := strings.Cut(s.lines.Text(), ":")
			fields[name] = strings.TrimPrefix(value, " ")
			continue
		}
		if id, numbered := fields["id"]; numbered {
			s.lastID = id
		}
		s.handleEvent(fields["event"], fields["data"])
		clear(fields)
	}
}

func (s *resumableStream) handleEvent(name, data string) {
	switch {
	case data == doneMarker:
		s.done = true
		return
	case name == "error":
		s.failure = data
		return
	}
	s.events++
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage *struct {
			Prompt     uint64 `json:"prompt_tokens"`
			Completion uint64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil {
		s.failure = data
		return
	}
	for _, c := range chunk.Choices {
		s.text.WriteString(c.Delta.Content)
	}
	if chunk.Usage != nil {
		s.tokens = chunk.Usage.Prompt + chunk.Usage.Completion
	}
}

// sendRequest sends a request with the test account's key. The caller closes the response body.
func sendRequest(method, url, body, lastID string) (*http.Response, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer crew-key")
	if lastID != "" {
		request.Header.Set("Last-Event-ID", lastID)
	}
	return http.DefaultClient.Do(request)
}

// A node is killed while a caller reads a stream from it, and the caller resumes at a node in
// the other region with the last event ID that it received. Guards against missing or
// repeated words, a missing end, and an account billed for two responses.
func TestCallerResumesStreamAtAnotherProcess(t *testing.T) {
	is := is.New(t)
	f := startProcessFleet(t)
	ctx := metadata.AppendToOutgoingContext(context.Background(), "authorization", "Bearer "+operatorToken)
	f.applyConfig(ctx)

	var words []string
	for i := range responseWords {
		words = append(words, fmt.Sprintf("w%d", i))
	}
	prompt := strings.Join(words, " ")
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, responseWords, prompt)
	stream := &resumableStream{}
	first, err := sendRequest("POST", "http://"+f.nodes[1].http+"/v1/chat/completions", body, "")
	is.NoErr(err)
	is.Equal(first.StatusCode, http.StatusOK)
	stream.connect(first.Body)
	stream.read(eventsBeforeKill)
	f.nodes[1].kill()
	stream.read(responseWords * 2) // events already in transit
	_ = first.Body.Close()
	is.True(!stream.done) // the kill must interrupt the response
	is.True(stream.lastID != "")
	eventsBefore := stream.events

	rest, err := sendRequest("GET", "http://"+f.nodes[2].http+"/v1/streams", "", stream.lastID)
	is.NoErr(err)
	is.Equal(rest.StatusCode, http.StatusOK)
	stream.connect(rest.Body)
	stream.read(responseWords * 2)
	_ = rest.Body.Close()
	is.Equal(stream.failure, "")
	is.True(stream.done)
	is.Equal(stream.text.String(), prompt+" ")
	is.Equal(stream.tokens, uint64(2*responseWords))

	f.nodes[1].start()
	f.awaitServing()
	for f.budgetState(ctx, f.nodes[0]).GetSpent() == 0 {
		time.Sleep(pollInterval) // until the killed node's request is settled
	}
	state := f.awaitConvergence(ctx)
	is.Equal(state.GetSpent(), stream.tokens)
	t.Logf("%d events before the kill, %d in total, spent %d tokens", eventsBefore, stream.events, state.GetSpent())
}
