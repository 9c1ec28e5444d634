package devfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/standin"
)

func startSample(t *testing.T) *Fleet {
	t.Helper()
	is := is.New(t)
	here := Location{"gulf-maine", "casco"}
	there := Location{"southern-new-england", "buzzards"}
	fleet, err := Start(Options{
		Nodes: []Location{here, here, there}, Engines: []Location{here, there}, PlainServices: []Location{here},
		Engine: standin.EngineOptions{TokenTime: time.Millisecond},
	})
	is.NoErr(err)
	t.Cleanup(fleet.Stop)
	is.NoErr(fleet.Apply(context.Background(), fleet.SampleConfig()))
	awaitConfig(t, fleet)
	return fleet
}

func awaitConfig(t *testing.T, fleet *Fleet) {
	t.Helper()
	for _, d := range fleet.Daemons {
		for d.Node().Ledger().Budget("dev-budget").Prepaid == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

func (f *Fleet) post(t *testing.T, i int, path, key, body string) (int, []byte) {
	t.Helper()
	is := is.New(t)
	url := "http://" + f.Daemons[i].Node().Settings().HTTPAddress + path
	request, err := http.NewRequest("POST", url, bytes.NewBufferString(body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, answer
}

const chatPath = "/v1/chat/completions"

func TestRequestsEndToEnd(t *testing.T) {
	is := is.New(t)
	fleet := startSample(t)
	body := `{"model":"` + SampleModel + `","max_tokens":10,"messages":[{"role":"user","content":"worn bridle on pen four"}]}`

	for i := range fleet.Daemons {
		status, answer := fleet.post(t, i, chatPath, SampleAccountKey, body)
		is.Equal(status, 200)
		var parsed struct {
			Choices []struct{ Message struct{ Content string } }
			Usage   struct {
				Total int `json:"total_tokens"`
			}
		}
		is.NoErr(json.Unmarshal(answer, &parsed))
		is.Equal(parsed.Choices[0].Message.Content, "worn bridle on pen four ")
		is.Equal(parsed.Usage.Total, 10)
	}
	status, answer := fleet.post(t, 0, chatPath, SampleAccountKey, strings.Replace(body, `"max_tokens"`, `"stream":true,"max_tokens"`, 1))
	is.Equal(status, 200)
	is.True(strings.HasSuffix(strings.TrimSpace(string(answer)), "data: [DONE]")) // whole streams end with the marker

	status, answer = fleet.post(t, 1, "/s/orders/work", SampleAccountKey, "order-1")
	is.Equal(status, 200)
	is.Equal(string(answer), "order-1")

	awaitSpent(t, fleet, 4*10+5)
}

// awaitSpent waits until every node has folded the settlements.
func awaitSpent(t *testing.T, fleet *Fleet, tokens uint64) {
	t.Helper()
	is := is.New(t)
	for _, d := range fleet.Daemons {
		for d.Node().Ledger().Budget("dev-budget").Spent < tokens {
			time.Sleep(time.Millisecond)
		}
		is.Equal(d.Node().Ledger().Budget("dev-budget").Spent, tokens)
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	fleet := startSample(t)
	message := `"messages":[{"role":"user","content":"x"}]`
	for name, c := range map[string]struct {
		path, key, body string
		status          int
		code            string
	}{
		"wrong key":       {chatPath, "nobody", `{}`, 401, "1002"},
		"malformed":       {chatPath, SampleAccountKey, `{"model":`, 400, "1001"},
		"unknown model":   {chatPath, SampleAccountKey, `{"model":"none",` + message + `}`, 404, "1003"},
		"zero tokens":     {chatPath, SampleAccountKey, `{"model":"` + SampleModel + `","max_tokens":0,` + message + `}`, 400, "1005"},
		"absurd tokens":   {chatPath, SampleAccountKey, `{"model":"` + SampleModel + `","max_tokens":99999999,` + message + `}`, 400, "1005"},
		"unknown service": {"/s/none/x", SampleAccountKey, ``, 404, "1003"},
		"no messages":     {chatPath, SampleAccountKey, `{"model":"` + SampleModel + `"}`, 400, "1001"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, answer := fleet.post(t, 0, c.path, c.key, c.body)
			is.Equal(status, c.status)
			is.True(strings.Contains(string(answer), `"code":`+c.code))
		})
	}
	is := is.New(t)
	is.Equal(fleet.Daemons[0].Node().Ledger().Budget("dev-budget").Spent, uint64(0)) // nothing billed
}
