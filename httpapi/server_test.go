package httpapi_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/devfleet"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/httpapi"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/result"
)

const chatPath = "/v1/chat/completions"

func TestMain(m *testing.M) {
	hlog.SetLevel(hlog.LevelFatal) // the HTTP library would log every connection
	os.Exit(m.Run())
}

func startFleet(t *testing.T, options devfleet.Options) *devfleet.Fleet {
	is := is.New(t)
	here := devfleet.Location{Region: "gulf-maine", DataCentre: "casco"}
	options.Nodes = []devfleet.Location{here, here, here}
	options.Engines = []devfleet.Location{here}
	options.PlainServices = []devfleet.Location{here}
	fleet, err := devfleet.Start(options)
	is.NoErr(err)
	t.Cleanup(fleet.Stop)
	is.NoErr(fleet.Apply(context.Background(), fleet.SampleConfig()))
	for _, d := range fleet.Daemons {
		for d.Node().Ledger().Budget("dev-budget").Prepaid == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return fleet
}

func httpAddress(fleet *devfleet.Fleet, i int) string {
	return fleet.Daemons[i].Node().Settings().HTTPAddress
}

// callResult is the response that a caller got.
type callResult struct {
	status int
	header http.Header
	body   string
	code   result.Code
	notRun bool
}

func send(t *testing.T, method, url string, header map[string]string, body string) callResult {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequest(method, url, bytes.NewBufferString(body))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+devfleet.SampleAccountKey)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	a := callResult{status: response.StatusCode, header: response.Header, body: string(text)}
	var failure struct {
		Error struct {
			Code   result.Code
			NotRun bool `json:"not_run"`
		}
	}
	if json.Unmarshal(text, &failure) == nil {
		a.code, a.notRun = failure.Error.Code, failure.Error.NotRun
	}
	return a
}

func TestAtMostOnceCallsOverHTTP(t *testing.T) {
	// A caller sends each work order to every node, with a key and with a ticket. All three
	// nodes must return the first answer, and each order must be billed once.
	is := is.New(t)
	fleet := startFleet(t, devfleet.Options{})
	ticket := send(t, "POST", "http://"+httpAddress(fleet, 1)+"/v1/tickets", nil, "")
	is.Equal(ticket.status, 200)
	var issued struct{ Ticket string }
	is.NoErr(json.Unmarshal([]byte(ticket.body), &issued))
	for name, header := range map[string]map[string]string{
		"by key":    {"Idempotency-Key": "order-1"},
		"by ticket": {"X-Call-Ticket": issued.Ticket},
	} {
		for i := range fleet.Daemons {
			got := send(t, "POST", "http://"+httpAddress(fleet, i)+"/s/orders/work", header, name)
			is.Equal(got.status, 200)
			is.Equal(got.body, name)
		}
		is.Equal(fleet.PlainServices[0].Runs()[name], 1)
	}
	for _, d := range fleet.Daemons {
		for d.Node().Ledger().Budget("dev-budget").Spent < 10 {
			time.Sleep(time.Millisecond)
		}
		is.Equal(d.Node().Ledger().Budget("dev-budget").Spent, uint64(10))
	}
	other := send(t, "POST", "http://"+httpAddress(fleet, 2)+"/s/orders/work", map[string]string{"Idempotency-Key": "order-1"}, "another")
	is.Equal(other.code, result.KeyReused)
}

func TestInvalidInputOverHTTP(t *testing.T) {
	// Invalid requests get their result code, and nothing stays reserved or is billed.
	is := is.New(t)
	fleet := startFleet(t, devfleet.Options{})
	base := "http://" + httpAddress(fleet, 0)
	small := `{"model":"` + devfleet.SampleModel + `","messages":[{"role":"user","content":"x"}]}`
	for name, c := range map[string]struct {
		method, path string
		header       map[string]string
		body         string
		code         result.Code
	}{
		"body too large":  {"POST", chatPath, nil, strings.Repeat("x", request.MaxBody+1), result.BodyTooLarge},
		"duplicate key":   {"POST", chatPath, nil, `{"model":"a","model":"b","messages":[{"content":"x"}]}`, result.MalformedRequest},
		"invalid timeout": {"POST", chatPath, map[string]string{"X-Request-Timeout-Ms": "soon"}, small, result.MalformedRequest},
		"no cursor":       {"GET", "/v1/streams", nil, "", result.InvalidCursor},
		"forged cursor":   {"POST", chatPath, map[string]string{"Last-Event-ID": "AAAA.AAAA"}, small, result.InvalidCursor},
		"forged ticket":   {"POST", "/s/orders/work", map[string]string{"X-Call-Ticket": "AAAA.AAAA"}, "", result.InvalidTicket},
		"long key":        {"POST", "/s/orders/work", map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}, "", result.InvalidKey},
		"key and ticket":  {"POST", "/s/orders/work", map[string]string{"Idempotency-Key": "k", "X-Call-Ticket": "t"}, "", result.InvalidKey},
		"escaped dots":    {"POST", "/s/orders/a/%2e%2e/b", nil, "", result.InvalidPath},
		"smuggled header": {"POST", "/s/orders/a%0d%0aX-Request-Id:%201", nil, "", result.InvalidPath},
		"no such path":    {"POST", "/v2/nothing", nil, "", result.UnknownService},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := send(t, c.method, base+c.path, c.header, c.body)
			is.Equal(got.code, c.code)
			is.Equal(got.status, c.code.Info().HTTP)
		})
	}
	is.Equal(len(fleet.PlainServices[0].Runs()), 0)
	assertNoOpenReservations(t, fleet)
}

func assertNoOpenReservations(t *testing.T, fleet *devfleet.Fleet) {
	t.Helper()
	is := is.New(t)
	open := fleet.Daemons[0].Node().Metrics().Get("open_reservations").String()
	is.Equal(open, "0") // no reservation is open
	is.Equal(fleet.Daemons[0].Node().Ledger().Budget("dev-budget").Spent, uint64(0))
}

func TestDisconnectsReleaseReservations(t *testing.T) {
	// One caller disconnects after half a request, another one mid-answer. The engine must
	// stop, and every reserved token must be released.
	is := is.New(t)
	fleet := startFleet(t, devfleet.Options{Engine: standin.EngineOptions{TokenTime: time.Millisecond}})
	half, err := net.Dial("tcp", httpAddress(fleet, 0))
	is.NoErr(err)
	_, err = half.Write([]byte("POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + devfleet.SampleAccountKey + "\r\nContent-Length: 1000\r\n\r\n{\"model\":"))
	is.NoErr(err)
	is.NoErr(half.Close())

	caller, err := net.Dial("tcp", httpAddress(fleet, 0))
	is.NoErr(err)
	body := `{"model":"` + devfleet.SampleModel + `","stream":true,"max_tokens":4000,"messages":[{"role":"user","content":"` + strings.Repeat("x ", 4000) + `"}]}`
	r, err := http.NewRequest("POST", "http://"+httpAddress(fleet, 0)+chatPath, strings.NewReader(body))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+devfleet.SampleAccountKey)
	is.NoErr(r.Write(caller))
	reader := bufio.NewReader(caller)
	for {
		line, err := reader.ReadString('\n')
		is.NoErr(err)
		if strings.HasPrefix(line, "data:") {
			break
		}
	}
	is.NoErr(caller.Close())
	ledger := fleet.Daemons[0].Node().Ledger()
	for ledger.Budget("dev-budget").Spent == 0 {
		time.Sleep(time.Millisecond)
	}
	spent := ledger.Budget("dev-budget").Spent
	is.True(spent > 4000 && spent < 8000) // the prompt and a part of the answer
	is.Equal(fleet.Daemons[0].Node().Metrics().Get("open_reservations").String(), "0")
}

func TestResumeOverHTTP(t *testing.T) {
	// A caller sends the event id of its third chunk to another node and must get the rest
	// and the end marker.
	is := is.New(t)
	fleet := startFleet(t, devfleet.Options{})
	body := `{"model":"` + devfleet.SampleModel + `","stream":true,"messages":[{"role":"user","content":"a b c d e f"}]}`
	whole := send(t, "POST", "http://"+httpAddress(fleet, 0)+chatPath, nil, body)
	is.Equal(whole.status, 200)
	events := strings.Split(strings.TrimSpace(whole.body), "\n\n")
	is.Equal(len(events), 9) // six words, the finish reason, the usage, the marker
	id, _, _ := strings.Cut(strings.TrimPrefix(events[2], "id: "), "\n")
	rest := send(t, "GET", "http://"+httpAddress(fleet, 2)+"/v1/streams", map[string]string{"Last-Event-ID": id}, "")
	is.Equal(rest.status, 200)
	missing := strings.Split(strings.TrimSpace(rest.body), "\n\n")
	is.Equal(len(missing), 6)
	for i := range missing {
		_, got, _ := strings.Cut(missing[i], "data: ")
		_, want, _ := strings.Cut(events[3+i], "data: ")
		is.Equal(got, want)
	}
}

func TestKeyedCompletionIsBilledOnce(t *testing.T) {
	// A caller times out and resends a completion to the other nodes, during the first try and
	// after it. If each try ran, the account would pay several times for the same answer.
	is := is.New(t)
	fleet := startFleet(t, devfleet.Options{Engine: standin.EngineOptions{TokenTime: 5 * time.Millisecond}})
	header := map[string]string{"Idempotency-Key": "summary-1"}
	body := `{"model":"` + devfleet.SampleModel + `","stream":true,"messages":[{"role":"user","content":"a b c d e f g h i j k l m n o p q r s t"}]}`
	answers := make(chan string, len(fleet.Daemons))
	for i := range fleet.Daemons {
		go func() {
			answers <- dataLines(send(t, "POST", "http://"+httpAddress(fleet, i)+chatPath, header, body).body)
		}()
	}
	first := <-answers
	is.True(strings.HasSuffix(first, "[DONE]"))
	is.Equal(strings.Count(first, "\n"), 22) // twenty words, the finish reason, the usage, the marker
	is.Equal(<-answers, first)
	is.Equal(<-answers, first)
	late := send(t, "POST", "http://"+httpAddress(fleet, 1)+chatPath, header, body)
	is.Equal(dataLines(late.body), first)
	is.Equal(len(fleet.Engines[0].Runs()), 1)
	other := send(t, "POST", "http://"+httpAddress(fleet, 2)+chatPath, header, strings.Replace(body, "a b", "b a", 1))
	is.Equal(other.code, result.KeyReused)
	for _, d := range fleet.Daemons {
		for d.Node().Ledger().Budget("dev-budget").Spent < 40 {
			time.Sleep(time.Millisecond)
		}
		is.Equal(d.Node().Ledger().Budget("dev-budget").Spent, uint64(40))
	}
}

// dataLines returns the payloads of an event stream's data lines.
func dataLines(stream string) string {
	var lines []string
	for _, line := range strings.Split(stream, "\n") {
		if data, found := strings.CutPrefix(line, "data: "); found {
			lines = append(lines, data)
		}
	}
	return strings.Join(lines, "\n")
}

func TestKeyedCompletionSurvivesDisconnect(t *testing.T) {
	// A caller loses its connection mid-answer and resends the request at another node. The
	// completion must have continued, be complete, and be billed once.
	is := is.New(t)
	fleet := startFleet(t, devfleet.Options{Engine: standin.EngineOptions{TokenTime: 5 * time.Millisecond}})
	body := `{"model":"` + devfleet.SampleModel + `","stream":true,"messages":[{"role":"user","content":"a b c d e f g h i j k l m n o p q r s t"}]}`
	caller, err := net.Dial("tcp", httpAddress(fleet, 0))
	is.NoErr(err)
	r, err := http.NewRequest("POST", "http://"+httpAddress(fleet, 0)+chatPath, strings.NewReader(body))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+devfleet.SampleAccountKey)
	r.Header.Set("Idempotency-Key", "summary-2")
	is.NoErr(r.Write(caller))
	reader := bufio.NewReader(caller)
	for {
		line, err := reader.ReadString('\n')
		is.NoErr(err)
		if strings.HasPrefix(line, "data:") {
			break
		}
	}
	is.NoErr(caller.Close())
	again := send(t, "POST", "http://"+httpAddress(fleet, 2)+chatPath, map[string]string{"Idempotency-Key": "summary-2"}, body)
	is.Equal(again.status, 200)
	is.Equal(len(strings.Split(dataLines(again.body), "\n")), 23)
	is.Equal(len(fleet.Engines[0].Runs()), 1)
	for fleet.Daemons[0].Node().Ledger().Budget("dev-budget").Spent == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(fleet.Daemons[0].Node().Ledger().Budget("dev-budget").Spent, uint64(40))
}

// refusingNode accepts no requests.
type refusingNode struct{ httpapi.Node }

func (refusingNode) Serving() error { return result.New(result.Draining, "leaving") }

func TestRefusalsOfANodeThatDoesNotServeAreRecorded(t *testing.T) {
	// Guards against refusals that nobody can look up, and against telling a caller whose
	// request runs elsewhere that it did not run.
	is := is.New(t)
	fleet := startFleet(t, devfleet.Options{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	node := fleet.Daemons[0].Node()
	server := httpapi.New(listener, func() httpapi.Node { return refusingNode{node} })
	go func() { _ = server.Run() }()
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	base := "http://" + listener.Addr().String()
	key := map[string]string{"Idempotency-Key": "k"}
	for i, c := range []struct {
		method, path string
		header       map[string]string
		notRun       bool
	}{
		{"POST", chatPath, nil, true},
		{"POST", chatPath, key, false},
		{"POST", "/s/orders/work", nil, true},
		{"POST", "/s/orders/work", key, false},
		{"POST", "/v1/tickets", nil, true},
		{"GET", "/v1/streams", nil, false},
	} {
		got := send(t, c.method, base+c.path, c.header, "{}")
		is.Equal(got.code, result.Draining)
		is.Equal(got.notRun, c.notRun)
		is.True(got.header.Get("X-Request-Id") != "")
		is.Equal(node.Events().Counts()[event.RequestRefused.Kind().Name], uint64(i+1))
	}
}
