package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// newLeavingServer answers everything with a status and the given value of HeaderLeaving, and
// counts the requests by path.
func newLeavingServer(t *testing.T, status int, value string) (to *operatorv1.Upstream, requests func() []string) {
	paths := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set(HeaderLeaving, value)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "{}")
	}))
	t.Cleanup(server.Close)
	return &operatorv1.Upstream{Name: "e", Address: strings.TrimPrefix(server.URL, "http://")}, func() []string {
		var received []string
		for len(paths) > 0 {
			received = append(received, <-paths)
		}
		return received
	}
}

// Guards against an announcement that is missed because of the answer that carries it.
func TestLeavingIsReadFromEveryResponse(t *testing.T) {
	for _, status := range []int{200, 400, 404, 408, 429, 500, 503} {
		is := is.New(t)
		to, _ := newLeavingServer(t, status, leavingValue)
		access, client := newTestAccess(), newTestClient(t)
		guard := &Guard{Client: client, Streams: client, Access: access}
		if stream, err := guard.Chat(context.Background(), to, ChatRequest{ID: "a.1", Body: []byte(`{}`)}); err == nil {
			stream.Close()
		}
		is.Equal(<-access.observed, Notice{Leaving: true})
		access.last = Notice{}
		_, _ = guard.Call(context.Background(), to, CallRequest{ID: "a.1", Method: "POST", Path: "/"})
		is.Equal(<-access.observed, Notice{Leaving: true})
	}
}

// Guards against an upstream being taken for leaving that says otherwise.
func TestOtherValueIsNoAnnouncementOfLeaving(t *testing.T) {
	is := is.New(t)
	to, _ := newLeavingServer(t, http.StatusOK, "false")
	access := newTestAccess()
	_, err := (&Guard{Client: newTestClient(t), Access: access}).Call(context.Background(), to, CallRequest{ID: "a.1", Method: "POST", Path: "/"})
	is.NoErr(err)
	is.Equal(len(access.observed), 0)
}

// Guards against new work, or the rest of a stream, being asked for at an upstream that said
// that it is leaving, and against its running requests not being settled.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	to, requests := newLeavingServer(t, http.StatusOK, leavingValue)
	access, client := newTestAccess(), newTestClient(t)
	access.last = Notice{Leaving: true}
	guard := &Guard{Client: client, Streams: client, Access: access}
	_, chatErr := guard.Chat(ctx, to, ChatRequest{ID: "a.1", Body: []byte(`{}`)})
	_, callErr := guard.Call(ctx, to, CallRequest{ID: "a.1", Method: "POST", Path: "/"})
	_, loadErr := LoadReader{Client: guard}.Load(ctx, to)
	for _, err := range []error{chatErr, callErr, loadErr} {
		is.Equal(result.CodeOf(err), result.NoUpstream)
		is.True(result.From(err).NotRun())
	}
	_, err := guard.Resume(ctx, to, "a.1", 1)
	is.Equal(result.CodeOf(err), result.StreamLost)
	is.Equal(len(requests()), 0)
	is.NoErr(guard.Cancel(ctx, to, "a.1"))
	_, err = guard.Usage(ctx, to, "a.1")
	is.NoErr(err)
	is.Equal(requests(), []string{"/v1/cancel", "/v1/usage"})
}
