package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	maxIdleConns  = 2048
	clientTimeout = time.Minute
	dataPrefix    = "data:"
	doneMarker    = "[DONE]"
)

// client sends requests and checks each answer against its request.
type client struct {
	http    *http.Client
	options Options
}

func newClient(options Options) *client {
	return &client{options: options, http: &http.Client{Timeout: clientTimeout,
		Transport: &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns}}}
}

// responseBody holds the fields that the client reads from an answer or a stream chunk.
type responseBody struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Prompt     uint64 `json:"prompt_tokens"`
		Completion uint64 `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Code uint32 `json:"code"`
		Name string `json:"name"`
	} `json:"error"`
}

// chat sends a completion request; the complete answer is the prompt itself.
func (c *client) chat(ctx context.Context, kind requestKind, target, id, prompt string) outcome {
	o := outcome{kind: kind, id: id}
	stream := kind != kindUnary
	body, _ := json.Marshal(map[string]any{"model": c.options.Model, "stream": stream, "max_tokens": len(strings.Fields(prompt)),
		"stream_options": map[string]bool{"include_usage": true},
		"messages":       []map[string]string{{"role": "user", "content": prompt}}})
	start := time.Now()
	response, err := c.post(ctx, "http://"+target+"/v1/chat/completions", id, body)
	if err != nil {
		o.lost = true
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.status, o.requestID = response.StatusCode, response.Header.Get("X-Request-Id")
	text := ""
	if stream && o.status == http.StatusOK {
		text = c.readStream(response.Body, start, &o)
	} else {
		text = c.readBody(response.Body, &o)
	}
	o.latency = time.Since(start)
	o.crossed = o.status == http.StatusOK && !strings.HasPrefix(prompt+" ", text)
	o.complete = o.complete && text == prompt+" "
	return o
}

func (c *client) post(ctx context.Context, url, id string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Key)
	request.Header.Set("X-Request-Id", id)
	return c.http.Do(request)
}

func (c *client) readBody(body io.Reader, o *outcome) string {
	data, err := io.ReadAll(body)
	if err != nil {
		o.lost = true
		return ""
	}
	var answer responseBody
	if json.Unmarshal(data, &answer) != nil {
		return ""
	}
	c.recordUsage(&answer, o)
	if len(answer.Choices) == 0 {
		return ""
	}
	o.complete = true
	return answer.Choices[0].Message.Content
}

func (c *client) recordUsage(answer *responseBody, o *outcome) {
	if answer.Usage != nil {
		o.tokens = answer.Usage.Prompt + answer.Usage.Completion
	}
	if answer.Error != nil {
		o.code = fmt.Sprintf("%d %s", answer.Error.Code, answer.Error.Name)
	}
}

func (c *client) readStream(body io.Reader, start time.Time, o *outcome) string {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), dataPrefix)
		if !found {
			continue
		}
		if o.firstByte == 0 {
			o.firstByte = time.Since(start)
		}
		data = strings.TrimSpace(data)
		if data == doneMarker {
			o.complete = true
			break
		}
		var chunk responseBody
		if json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		c.recordUsage(&chunk, o)
		if len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	// A broken connection counts as lost. Only a stream that ends without an error and
	// without the terminal marker counts as truncated.
	o.lost = !o.complete && lines.Err() != nil
	return text.String()
}

// callPlain sends a plain call that must not run twice; the service echoes its body.
func (c *client) callPlain(ctx context.Context, target, id string) outcome {
	o := outcome{kind: kindPlain, id: id}
	start := time.Now()
	response, err := c.post(ctx, "http://"+target+"/s/"+c.options.PlainService+"/work", id, []byte(id))
	if err != nil {
		o.lost = true
		return o
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	o.lost = err != nil
	o.status, o.latency = response.StatusCode, time.Since(start)
	o.complete, o.crossed = string(data) == id, o.status == http.StatusOK && string(data) != id
	var answer responseBody
	if o.status != http.StatusOK && json.Unmarshal(data, &answer) == nil {
		c.recordUsage(&answer, &o)
	}
	return o
}
