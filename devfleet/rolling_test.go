package devfleet

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/node"
)

const testAddressLifetime = 500 * time.Millisecond

// cachingClient is a caller that caches the advertised addresses for their lifetime and
// reuses its connections to them.
type cachingClient struct {
	client    *http.Client
	addresses []string
	expires   time.Time
	next      int
}

// pickAddress returns an unexpired address; it refreshes the list after half its lifetime.
func (c *cachingClient) pickAddress() (string, error) {
	if time.Until(c.expires) > testAddressLifetime/2 {
		c.next++
		return c.addresses[c.next%len(c.addresses)], nil
	}
	if err := c.refresh(); err != nil {
		return "", err
	}
	return c.addresses[0], nil
}

// refresh fetches new addresses from the first node that responds. While the list is
// unexpired, its first node must respond. A list that expired while a long response was read
// may contain nodes that have left since; if such a node refuses, the next one is tried.
func (c *cachingClient) refresh() error {
	var err error
	for _, address := range c.addresses {
		requestedAt := time.Now()
		if err = c.refreshFrom(address); err == nil || requestedAt.Before(c.expires) {
			return err
		}
	}
	return err
}

func (c *cachingClient) refreshFrom(address string) error {
	requestedAt := time.Now()
	response, err := c.client.Get("http://" + address + "/v1/addresses")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var result struct {
		Addresses []struct{ Address string }
		TTL       float64 `json:"ttl_seconds"`
	}
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return err
	}
	c.addresses = nil
	for _, a := range result.Addresses {
		c.addresses = append(c.addresses, a.Address)
	}
	c.expires = requestedAt.Add(time.Duration(result.TTL * float64(time.Second)))
	return nil
}

func (c *cachingClient) post(path, body string) (string, error) {
	address, err := c.pickAddress()
	if err != nil {
		return "", err
	}
	request, err := http.NewRequest("POST", "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+SampleAccountKey)
	response, err := c.client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	return string(responseBody), err
}

// All instances of a fleet are replaced one by one while callers stream responses and submit
// orders. Callers cache each address for its lifetime and don't know which node leaves. None
// may see a refused connection or a truncated response.
func TestRollingReplacementInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	here, there := Location{"gulf-maine", "casco"}, Location{"southern-new-england", "buzzards"}
	locations := []Location{here, here, here, here, there, there, there}
	fleet, err := Start(Options{
		Nodes: locations, Engines: []Location{here, there}, PlainServices: []Location{here},
		Engine:         standin.EngineOptions{TokenTime: 5 * time.Millisecond},
		AdjustSettings: func(s *node.Settings) { s.AddressLifetime = testAddressLifetime },
	})
	is.NoErr(err)
	t.Cleanup(fleet.Stop)
	is.NoErr(fleet.Apply(context.Background(), fleet.SampleConfig()))
	awaitConfig(t, fleet)

	chat := `{"model":"` + SampleModel + `","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"` + strings.Repeat("worn bridle ", 30) + `"}]}`
	first := fleet.Daemons[0].Node().Settings().HTTPAddress
	var stopped atomic.Bool
	var completed atomic.Int64
	var callers sync.WaitGroup
	t.Cleanup(callers.Wait)
	t.Cleanup(func() { stopped.Store(true) })
	for range 4 {
		callers.Go(func() {
			c := &cachingClient{client: &http.Client{Transport: &http.Transport{}}, addresses: []string{first}}
			for !stopped.Load() {
				responseBody, err := c.post(chatPath, chat)
				if err != nil || !strings.HasSuffix(strings.TrimSpace(responseBody), "data: [DONE]") {
					t.Errorf("stream truncated: %v, %d bytes: %s", err, len(responseBody), responseBody[max(0, len(responseBody)-200):])
				}
				completed.Add(1)
			}
		})
		callers.Go(func() {
			c := &cachingClient{client: &http.Client{Transport: &http.Transport{}}, addresses: []string{first}}
			for !stopped.Load() {
				responseBody, err := c.post("/s/orders/work", "bridle")
				if err != nil || responseBody != "bridle" {
					t.Errorf("order call failed: %v: %s", err, responseBody)
				}
				completed.Add(1)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	for i, location := range locations {
		is.NoErr(fleet.ReplaceNode(i, location))
	}
	stopped.Store(true)
	callers.Wait()
	t.Logf("%d complete responses", completed.Load())
}
