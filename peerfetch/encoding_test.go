package peerfetch

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/httpwire"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Guards against a large record that fills the links of small nodes: compressed it is a fraction as long. A node that
// doesn't accept compression gets it as it is.
func TestLargeRepliesAreCompressed(t *testing.T) {
	is := is.New(t)
	replica := NewReplica(synctestClock{})
	value := bytes.Repeat([]byte(`{"name":"route","kind":"idempotent"},`), 10_000)
	records := []keyedlog.Record{{Key: "config", Value: value}}
	replica.Reset(records, 1)
	server := httptest.NewServer(Handler(map[string]*Replica{"config": replica}, func(string) bool { return true }))
	defer server.Close()
	client := &Client{HTTP: httpwire.NewClient(httpwire.Options{Clock: bootclock.System{}, DialTimeout: time.Second})}
	request := Request{Topic: "config", From: -1, End: 1}
	for range 2 { // the second reply is kept from the first
		reply, err := client.Fetch(t.Context(), server.Listener.Addr().String(), request, func() {})
		is.NoErr(err)
		is.Equal(reply, Reply{Records: records, Next: 1})
	}
	encoded, err := EncodeReply(&Reply{Records: records, Next: 1})
	is.NoErr(err)
	is.True(len(encoded) < len(value)/8)

	body, err := json.Marshal(request)
	is.NoErr(err)
	plain, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+Path, bytes.NewReader(body))
	is.NoErr(err)
	plain.Header.Set("Accept-Encoding", "identity")
	resp, err := http.DefaultClient.Do(plain)
	is.NoErr(err)
	defer resp.Body.Close()
	var reply Reply
	is.NoErr(json.NewDecoder(resp.Body).Decode(&reply))
	is.Equal(reply, Reply{Records: records, Next: 1})
}
