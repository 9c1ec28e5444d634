package fake

import (
	"encoding/json"
	"net/http"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/upstream"
)

// EngineOrder is a model order as an engine received it.
type EngineOrder struct {
	Upstream string
	Node     string
	Fencing  uint64
	At       time.Time
	// Accepted is false if the engine rejected the order for its stale fencing number.
	Accepted bool
}

const (
	modelsPath    = "/v1/models"
	modelCapacity = 4
)

// engineState is an engine's model state; models are kept as they were sent.
type engineState struct {
	Models   json.RawMessage `json:"models"`
	Capacity int             `json:"capacity"`
	Fencing  uint64          `json:"fencing"`
}

// Orders returns the orders that engines received, in order of arrival.
func (u *Upstreams) Orders() []EngineOrder {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]EngineOrder(nil), u.orders...)
}

// handleModels serves an engine's models endpoint: GET reports its state, any other method is
// an order.
func (u *Upstreams) handleModels(to *operatorv1.Upstream, node Endpoint, r upstream.CallRequest) upstream.CallResponse {
	u.mu.Lock()
	defer u.mu.Unlock()
	state := u.engines[to.GetName()]
	if state == nil {
		state = &engineState{Models: json.RawMessage("[]"), Capacity: modelCapacity}
		u.engines[to.GetName()] = state
	}
	if r.Method == http.MethodGet {
		body, _ := json.Marshal(state)
		return upstream.CallResponse{Status: http.StatusOK, Body: body}
	}
	var order engineState
	_ = json.Unmarshal(r.Body, &order)
	received := EngineOrder{Upstream: to.GetName(), Node: string(node), Fencing: order.Fencing, At: u.clock.Now()}
	checks := to.GetChecksFencing() && !u.faults.IgnoreFencing
	received.Accepted = !checks || order.Fencing >= state.Fencing
	u.orders = append(u.orders, received)
	if !received.Accepted {
		return upstream.CallResponse{Status: http.StatusConflict}
	}
	state.Fencing, state.Models = order.Fencing, order.Models
	return upstream.CallResponse{Status: http.StatusOK}
}
