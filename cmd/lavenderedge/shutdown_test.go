package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/logsink"
	"lavenderpin.dev/lavenderpin/platform"
	"lavenderpin.dev/lavenderpin/platform/standin"
	"lavenderpin.dev/lavenderpin/prepaid"
)

// Guards against cutting a stream that the node accepted after SIGTERM although it would outlast
// the grace period.
func TestStreamAcceptedLateInShutdownIsNotCut(t *testing.T) {
	is := is.New(t)
	chat := standin.Route{Name: "chats", Kind: "streaming", Engine: true, MaxAttempts: 1, Timeout: 30 * time.Second}
	engine, app := standin.NewEngine("e1", standin.EngineService, "dc", 100), standin.NewEngine("a1", standin.PlainService, "dc", 0)
	defer engine.Close()
	defer app.Close()
	p := startTestProcess(t, []standin.Route{chat}, engine, app)
	caller := standin.NewCaller()
	defer caller.Close()
	send := func(id string) standin.Outcome {
		return caller.Do(context.Background(), p.settings.Frontend, standin.Call{ID: id, Route: chat, Key: "key-1", PromptTokens: 10, MaxOutputTokens: 700, Deadline: 30 * time.Second})
	}
	is.True(send("short").Complete)
	engine.SetFaults(standin.Faults{EventInterval: 60 * time.Millisecond}) // 6 s for a stream

	var calls sync.WaitGroup
	outcomes := make([]standin.Outcome, 3)
	stopped := make(chan struct{})
	go func() {
		p.drain()
		close(stopped)
	}()
	for i, after := range []time.Duration{2900 * time.Millisecond, 3100 * time.Millisecond, 3300 * time.Millisecond} {
		calls.Go(func() {
			time.Sleep(after)
			outcomes[i] = send(fmt.Sprintf("late-%d", i))
		})
	}
	var lookup standin.Outcome
	calls.Go(func() {
		time.Sleep(100 * time.Millisecond)
		lookup = caller.Do(context.Background(), p.settings.Frontend, standin.Call{ID: "lookup", Route: standin.LookupRoute, Key: "key-1", Deadline: time.Second})
	})
	calls.Wait()
	<-stopped
	is.Equal(lookup.Status, http.StatusOK) // certainly ends in time
	for _, o := range outcomes {
		is.True(o.Complete)                                                             // neither cut nor closed without an answer
		is.True(o.Status == http.StatusOK || o.Status == http.StatusServiceUnavailable) // served, or promised not to run
	}
}

// startTestProcess starts a node's process on loopback and waits until it is ready.
func startTestProcess(t *testing.T, routes []standin.Route, engines ...*standin.Engine) *process {
	t.Helper()
	is := is.New(t)
	store := standin.NewStore()
	t.Cleanup(store.Close)
	for _, e := range engines {
		e.Register(store, "ready")
	}
	operator := &standin.Operator{Store: store, ExtraRoutes: routes, Accounts: []standin.Account{{Name: "one", Keys: []string{"key-1"}, Prepaid: 1_000_000}}}
	operator.Configure()
	ports := freePorts(t, 4)
	addresses := standin.NodeAddresses{IP: "127.0.0.1", FrontendPort: ports[0], ReadyPort: ports[1], DirectoryPort: ports[2], PeerPort: ports[3]}
	settings, err := platform.ParseSettings(standin.NodeSettings("n1", "dc", map[string]string{"dc": "region"}, store.Address(), addresses))
	is.NoErr(err)
	p := &process{settings: settings, events: newRecorder(settings, logsink.New(io.Discard))}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	is.NoErr(p.startNode(ctx, ctx, newIncarnation(), prepaid.ProcessStart{ClockReading: p.clocks().Read(), BootID: "boot"}))
	for end := time.Now().Add(10 * time.Second); !p.node.Ready(); time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(end)) // the node gets ready
	}
	return p
}
