package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/upstream"
)

// crashDown is how long an engine that crashed is gone.
const crashDown = 3 * time.Second

// crashEngine is an engine that crashes as it begins to answer a request whose body holds a marker, and comes back.
type crashEngine struct {
	network *pathNetwork
	address string
	marker  string
	// afterChunks is how many chunks it sends before.
	afterChunks int
	// early is whether it crashes before the headers of the answer are sent.
	early bool

	mu      sync.Mutex
	server  *http.Server
	crashes []time.Time
	// at holds when requests with the marker arrived, from the hosts that sent them.
	at     []time.Time
	from   []string
	closed bool
}

func (e *crashEngine) listen() {
	server := &http.Server{Handler: e}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.server = server
	listener := e.network.Listen(e.address)
	go func() { _ = server.Serve(listener) }()
}

// crash crashes the engine for crashDown.
func (e *crashEngine) crash() {
	e.mu.Lock()
	down := len(e.crashes) > 0 && time.Since(e.crashes[len(e.crashes)-1]) < crashDown
	if !down {
		e.crashes = append(e.crashes, time.Now())
	}
	server := e.server
	e.mu.Unlock()
	if !down {
		_ = server.Close()
		time.AfterFunc(crashDown, e.listen)
	}
}

func (e *crashEngine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	_ = e.server.Close()
}

func (e *crashEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(upstream.HeaderRequestID)
	w.Header().Set(upstream.HeaderRequestID, id)
	plain := r.URL.Path == "/lookup" || r.URL.Path == "/orders"
	if r.URL.Path != "/v1/chat/completions" && !plain {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, _ := io.ReadAll(r.Body)
	marked := e.marker != "" && strings.Contains(string(body), e.marker)
	if marked {
		e.mu.Lock()
		from, _, _ := net.SplitHostPort(r.RemoteAddr) // always host:port
		e.at, e.from = append(e.at, time.Now()), append(e.from, from)
		e.mu.Unlock()
	}
	if plain {
		if marked {
			e.crash()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "done")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	time.Sleep(20 * time.Millisecond)
	if !e.early {
		_ = flush() // sends the headers
	}
	for i := range 10 {
		if marked && i == e.afterChunks {
			e.crash()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"w%d \"}}]}\n\n", i, id, i)
		_ = flush()
		time.Sleep(10 * time.Millisecond)
	}
	_, _ = fmt.Fprintf(w, "id: 10\ndata: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":10}}\n\nid: 11\ndata: [DONE]\n\n", id)
}

// addCrashEngines starts engines and declares them.
func (p *pathNetwork) addCrashEngines(f *testFleet, count int, marker string, afterChunks int) []*crashEngine {
	changes := []*operatorv1.Change{
		{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{Name: "a", KeySha256: []string{config.HashKey(streamKey)}}}}},
		{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{Name: "chat", Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{"m"}}}}},
		{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Budget{Budget: &operatorv1.Budget{Name: testBudget, Account: "a", Services: []string{"chat", "orders"}}}}},
	}
	var engines []*crashEngine
	for i := range count {
		e := &crashEngine{network: p, address: fmt.Sprintf("10.65.0.%d:80", i+1), marker: marker, afterChunks: afterChunks}
		e.listen()
		engines = append(engines, e)
		changes = append(changes, &operatorv1.Change{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: &operatorv1.Upstream{
			Name: fmt.Sprintf("chat-%d", i), Service: "chat", Address: e.address, Slots: 8, Region: nearRegion, DataCentre: fmt.Sprintf("%s-%d", nearRegion, i%2)}}}})
	}
	changes = append(changes, &operatorv1.Change{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{Name: "orders", Kind: operatorv1.ServiceKind_SERVICE_KIND_PLAIN,
		Calls: []*operatorv1.Call{{Method: "POST", Path: "/orders", Tokens: 1}, {Method: "POST", Path: "/lookup", Tokens: 1, Idempotent: true}}}}}})
	for i := range engines {
		changes = append(changes, &operatorv1.Change{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: &operatorv1.Upstream{
			Name: fmt.Sprintf("orders-%d", i), Service: "orders", Address: engines[i].address, Region: nearRegion, DataCentre: fmt.Sprintf("%s-%d", nearRegion, i%2)}}}})
	}
	f.append(&recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{ChangeId: "engines", Changes: changes}}})
	f.topUp(10_000_000)
	f.await(func() bool {
		for _, n := range f.nodes {
			if n.Config().Service("orders") == nil || n.Config().ServiceByModel("m") == nil || n.Config().BudgetName("a", "chat") == "" {
				return false
			}
		}
		return true
	})
	p.t.Cleanup(func() {
		for _, e := range engines {
			e.close()
		}
	})
	return engines
}

// countCrashes returns how many incarnations of engines have crashed.
func countCrashes(engines []*crashEngine) int {
	count := 0
	for _, e := range engines {
		e.mu.Lock()
		count += len(e.crashes)
		e.mu.Unlock()
	}
	return count
}
