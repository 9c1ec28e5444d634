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
	// answerWords makes an answer that takes about a second at the engines' pace.
	answerWords = 200
	// readBeforeKill is how many events a caller has when its node dies.
	readBeforeKill = 20
	doneMarker     = "[DONE]"
)

// callerStream is an answer as its caller gathers it over several connections.
type callerStream struct {
	lines  *bufio.Scanner
	text   strings.Builder
	lastID string
	tokens uint64
	events int
	done   bool
	failed string
}

// connect reads on from another connection.
func (s *callerStream) connect(body io.Reader) { s.lines = bufio.NewScanner(body) }

// read takes events until the answer or the connection ends, or until limit events. An
// event counts with the empty line that ends it: one cut before is not had.
func (s *callerStream) read(limit int) {
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
		s.take(fields["event"], fields["data"])
		clear(fields)
	}
}

func (s *callerStream) take(kind, data string) {
	switch {
	case data == doneMarker:
		s.done = true
		return
	case kind == "error":
		s.failed = data
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
		s.failed = data
		return
	}
	for _, c := range chunk.Choices {
		s.text.WriteString(c.Delta.Content)
	}
	if chunk.Usage != nil {
		s.tokens = chunk.Usage.Prompt + chunk.Usage.Completion
	}
}

// ask sends a caller's request and returns the answer, whose body the caller closes.
func ask(method, url, body, lastID string) (*http.Response, error) {
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

// A node is killed while a caller reads a stream from it. The caller takes the last
// event id that it got to another node, in the other region, and reads on there. It gets
// each word once and the end, and its account is billed for one answer: a user would
// notice words missing or twice, or a bill for two.
func TestCallerResumesStreamAtAnotherProcess(t *testing.T) {
	is := is.New(t)
	f := startProcesses(t)
	ctx := metadata.AppendToOutgoingContext(context.Background(), "authorization", "Bearer "+testToken)
	f.declare(ctx)

	var words []string
	for i := range answerWords {
		words = append(words, fmt.Sprintf("w%d", i))
	}
	prompt := strings.Join(words, " ")
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, answerWords, prompt)
	caller := &callerStream{}
	first, err := ask("POST", "http://"+f.nodes[1].http+"/v1/chat/completions", body, "")
	is.NoErr(err)
	is.Equal(first.StatusCode, http.StatusOK)
	caller.connect(first.Body)
	caller.read(readBeforeKill)
	f.nodes[1].kill()
	caller.read(answerWords * 2) // what was on its way
	_ = first.Body.Close()
	is.True(!caller.done) // the death must fall within the answer
	is.True(caller.lastID != "")
	had := caller.events

	rest, err := ask("GET", "http://"+f.nodes[2].http+"/v1/streams", "", caller.lastID)
	is.NoErr(err)
	is.Equal(rest.StatusCode, http.StatusOK)
	caller.connect(rest.Body)
	caller.read(answerWords * 2)
	_ = rest.Body.Close()
	is.Equal(caller.failed, "")
	is.True(caller.done)
	is.Equal(caller.text.String(), prompt+" ")
	is.Equal(caller.tokens, uint64(2*answerWords))

	f.nodes[1].start()
	f.awaitServing()
	for f.budget(ctx, f.nodes[0]).GetSpent() == 0 {
		time.Sleep(pollEvery) // until the dead node's request is settled
	}
	state := f.awaitAgreement(ctx)
	is.Equal(state.GetSpent(), caller.tokens)
	t.Logf("%d events before the death, %d in all, spent %d", had, caller.events, state.GetSpent())
}
