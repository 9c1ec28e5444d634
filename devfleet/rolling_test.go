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

const rollingLifetime = 500 * time.Millisecond

// keeper is a caller that asks for addresses, keeps them for their lifetime and
// uses them over connections it keeps open.
type keeper struct {
	client  *http.Client
	list    []string
	expires time.Time
	turn    int
}

// address returns an address within its lifetime; it asks again at half of it.
func (k *keeper) address() (string, error) {
	if time.Until(k.expires) > rollingLifetime/2 {
		k.turn++
		return k.list[k.turn%len(k.list)], nil
	}
	if err := k.ask(); err != nil {
		return "", err
	}
	return k.list[0], nil
}

// ask takes new addresses from the first node that answers. A list that is still good
// must be answered by its first node. One that ran out while a long answer was read may
// name nodes that have left since; such a node may refuse, and the next one is asked.
func (k *keeper) ask() error {
	var err error
	for _, address := range k.list {
		asked := time.Now()
		if err = k.askAt(address); err == nil || asked.Before(k.expires) {
			return err
		}
	}
	return err
}

func (k *keeper) askAt(address string) error {
	asked := time.Now()
	response, err := k.client.Get("http://" + address + "/v1/addresses")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []struct{ Address string }
		TTL       float64 `json:"ttl_seconds"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return err
	}
	k.list = nil
	for _, a := range answer.Addresses {
		k.list = append(k.list, a.Address)
	}
	k.expires = asked.Add(time.Duration(answer.TTL * float64(time.Second)))
	return nil
}

func (k *keeper) post(path, body string) (string, error) {
	address, err := k.address()
	if err != nil {
		return "", err
	}
	request, err := http.NewRequest("POST", "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+SampleAccountKey)
	response, err := k.client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return string(answer), err
}

// Every instance of a fleet is replaced, one after the other, while callers stream
// answers and file work orders. They keep each address for its lifetime and can't know
// which node leaves. None may see a refused connection or a cut answer.
func TestRollingReplacementInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	here, there := Location{"gulf-maine", "casco"}, Location{"southern-new-england", "buzzards"}
	places := []Location{here, here, here, here, there, there, there}
	fleet, err := Start(Options{
		Nodes: places, Engines: []Location{here, there}, PlainServices: []Location{here},
		Engine:         standin.EngineOptions{TokenTime: 5 * time.Millisecond},
		AdjustSettings: func(s *node.Settings) { s.AddressLifetime = rollingLifetime },
	})
	is.NoErr(err)
	t.Cleanup(fleet.Stop)
	is.NoErr(fleet.Apply(context.Background(), fleet.SampleConfig()))
	awaitConfig(t, fleet)

	chat := `{"model":"` + SampleModel + `","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"` + strings.Repeat("worn bridle ", 30) + `"}]}`
	first := fleet.Daemons[0].Node().Settings().HTTPAddress
	var stop atomic.Bool
	var whole atomic.Int64
	var callers sync.WaitGroup
	t.Cleanup(callers.Wait)
	t.Cleanup(func() { stop.Store(true) })
	for range 4 {
		callers.Go(func() {
			k := &keeper{client: &http.Client{Transport: &http.Transport{}}, list: []string{first}}
			for !stop.Load() {
				answer, err := k.post(chatPath, chat)
				if err != nil || !strings.HasSuffix(strings.TrimSpace(answer), "data: [DONE]") {
					t.Errorf("stream cut: %v, %d bytes: %s", err, len(answer), answer[max(0, len(answer)-200):])
				}
				whole.Add(1)
			}
		})
		callers.Go(func() {
			k := &keeper{client: &http.Client{Transport: &http.Transport{}}, list: []string{first}}
			for !stop.Load() {
				answer, err := k.post("/s/orders/work", "bridle")
				if err != nil || answer != "bridle" {
					t.Errorf("order cut: %v: %s", err, answer)
				}
				whole.Add(1)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	for i, place := range places {
		is.NoErr(fleet.ReplaceNode(i, place))
	}
	stop.Store(true)
	callers.Wait()
	t.Logf("%d answers, all whole", whole.Load())
}
