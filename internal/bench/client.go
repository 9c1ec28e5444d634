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
	maxIdle       = 2048
	clientTimeout = time.Minute
	dataPrefix    = "data:"
	doneMarker    = "[DONE]"
)

// client sends requests and checks what comes back against what was asked.
type client struct {
	http    *http.Client
	options Options
}

func newClient(options Options) *client {
	return &client{options: options, http: &http.Client{Timeout: clientTimeout,
		Transport: &http.Transport{MaxIdleConns: maxIdle, MaxIdleConnsPerHost: maxIdle}}}
}

// answerBody is what the client reads of an answer or of a chunk.
type answerBody struct {
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

// chat sends a completion whose whole answer is the prompt itself.
func (c *client) chat(ctx context.Context, k kind, target, id, prompt string) outcome {
	o := outcome{kind: k, id: id}
	stream := k != kindWhole
	body, _ := json.Marshal(map[string]any{"model": c.options.Model, "stream": stream, "max_tokens": len(strings.Fields(prompt)),
		"stream_options": map[string]bool{"include_usage": true},
		"messages":       []map[string]string{{"role": "user", "content": prompt}}})
	began := time.Now()
	response, err := c.post(ctx, "http://"+target+"/v1/chat/completions", id, body)
	if err != nil {
		o.lost = true
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.status, o.request = response.StatusCode, response.Header.Get("X-Request-Id")
	text := ""
	if stream && o.status == http.StatusOK {
		text = c.readStream(response.Body, began, &o)
	} else {
		text = c.readWhole(response.Body, &o)
	}
	o.latency = time.Since(began)
	o.crossed = o.status == http.StatusOK && !strings.HasPrefix(prompt+" ", text)
	o.whole = o.whole && text == prompt+" "
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

func (c *client) readWhole(from io.Reader, o *outcome) string {
	data, err := io.ReadAll(from)
	if err != nil {
		o.lost = true
		return ""
	}
	var answer answerBody
	if json.Unmarshal(data, &answer) != nil {
		return ""
	}
	c.take(&answer, o)
	if len(answer.Choices) == 0 {
		return ""
	}
	o.whole = true
	return answer.Choices[0].Message.Content
}

func (c *client) take(answer *answerBody, o *outcome) {
	if answer.Usage != nil {
		o.tokens = answer.Usage.Prompt + answer.Usage.Completion
	}
	if answer.Error != nil {
		o.code = fmt.Sprintf("%d %s", answer.Error.Code, answer.Error.Name)
	}
}

func (c *client) readStream(from io.Reader, began time.Time, o *outcome) string {
	var text strings.Builder
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), dataPrefix)
		if !found {
			continue
		}
		if o.first == 0 {
			o.first = time.Since(began)
		}
		data = strings.TrimSpace(data)
		if data == doneMarker {
			o.whole = true
			break
		}
		var chunk answerBody
		if json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		c.take(&chunk, o)
		if len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	// A connection that broke is seen as such; only a stream that ended as if it
	// were complete is truncated.
	o.lost = !o.whole && lines.Err() != nil
	return text.String()
}

// call sends a plain call that must not run twice; the service echoes its body.
func (c *client) call(ctx context.Context, target, id string) outcome {
	o := outcome{kind: kindPlain, id: id}
	began := time.Now()
	response, err := c.post(ctx, "http://"+target+"/s/"+c.options.PlainService+"/work", id, []byte(id))
	if err != nil {
		o.lost = true
		return o
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	o.lost = err != nil
	o.status, o.latency = response.StatusCode, time.Since(began)
	o.whole, o.crossed = string(data) == id, o.status == http.StatusOK && string(data) != id
	var answer answerBody
	if o.status != http.StatusOK && json.Unmarshal(data, &answer) == nil {
		c.take(&answer, &o)
	}
	return o
}
