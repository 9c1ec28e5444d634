package httpapi_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/devfleet"
)

const (
	timestampChunks = 10
	chunkInterval   = 5 * time.Millisecond
	requestRate     = 1000 // requests a second
	loadDuration    = 5 * time.Second
)

// timestampEngine answers with chunks whose content is the time at which they are sent.
func timestampEngine(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	flush := w.(http.Flusher).Flush
	for i := range timestampChunks {
		time.Sleep(chunkInterval)
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%d\"},\"finish_reason\":null}]}\n\n", i, id, time.Now().UnixNano())
		flush()
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":%d}}\n\n", timestampChunks, id, timestampChunks)
	fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", timestampChunks+1)
	flush()
}

// latencyRecorder records the age of each chunk when its caller receives it.
type latencyRecorder struct {
	mu     sync.Mutex
	chunks *hdrhistogram.Histogram
	failed int
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{chunks: hdrhistogram.New(1, int64(time.Minute), 3)}
}

func (s *latencyRecorder) request(client *http.Client, url string) {
	body := `{"model":"` + devfleet.SampleModel + `","stream":true,"max_tokens":10,"messages":[{"role":"user","content":"x"}]}`
	r, _ := http.NewRequest("POST", url+chatPath, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+devfleet.SampleAccountKey)
	response, err := client.Do(r)
	if err != nil {
		s.fail()
		return
	}
	defer func() { _ = response.Body.Close() }()
	complete := false
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		complete = complete || data == "[DONE]"
		s.record(data)
	}
	if !complete {
		s.fail()
	}
}

func (s *latencyRecorder) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed++
}

func (s *latencyRecorder) record(data string) {
	got := time.Now().UnixNano()
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return
	}
	sent, err := strconv.ParseInt(chunk.Choices[0].Delta.Content, 10, 64)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.chunks.RecordValue(got - sent)
}

// generateLoad sends requests at a fixed rate, without waiting for earlier ones.
func generateLoad(url string) *latencyRecorder {
	s := newLatencyRecorder()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	defer client.CloseIdleConnections()
	var requests sync.WaitGroup
	started := time.Now()
	for i := range int(loadDuration.Seconds() * requestRate) {
		time.Sleep(time.Until(started.Add(time.Duration(i) * time.Second / requestRate)))
		requests.Go(func() { s.request(client, url) })
	}
	requests.Wait()
	return s
}

// LAVENDERPIN_MEASURE=1 prints how much latency a node adds to a chunk on loopback, compared
// with direct requests to the same engine in the same run. Engine, node and callers share one
// process, so the node's metrics include the load of all three.
func TestChunkCost(t *testing.T) {
	if os.Getenv("LAVENDERPIN_MEASURE") == "" {
		return
	}
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	engine := &http.Server{Handler: http.HandlerFunc(timestampEngine), ReadHeaderTimeout: time.Minute}
	go func() { _ = engine.Serve(listener) }()
	t.Cleanup(func() { _ = engine.Close() })
	fleet := startFleet(t, devfleet.Options{})
	sample := fleet.SampleConfig()
	sample.TopUps[0] = &operatorv1.TopUp{Id: "measure", Budget: "dev-budget", Tokens: 100_000_000}
	sample.Upstreams = []*operatorv1.Upstream{{Name: "engine-0", Service: "chat", Address: listener.Addr().String(), Region: "gulf-maine", DataCentre: "casco", Slots: 1000}}
	is.NoErr(fleet.Apply(context.Background(), sample))
	for fleet.Daemons[0].Node().Config().Upstreams("chat")[0].GetAddress() != listener.Addr().String() {
		time.Sleep(time.Millisecond)
	}
	for _, c := range []struct{ name, url string }{
		{"direct", "http://" + listener.Addr().String()},
		{"via node", "http://" + httpAddress(fleet, 0)},
		{"direct", "http://" + listener.Addr().String()},
		{"via node", "http://" + httpAddress(fleet, 0)},
	} {
		s := generateLoad(c.url)
		at := func(q float64) time.Duration {
			return time.Duration(s.chunks.ValueAtQuantile(q)).Round(time.Microsecond)
		}
		fmt.Printf("| %s | %d | %d | %s | %s | %s |\n", c.name, s.chunks.TotalCount(), s.failed, at(50), at(99), at(99.9))
	}
}
