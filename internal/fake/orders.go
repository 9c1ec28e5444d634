package fake

import (
	"encoding/json"
	"net/http"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/upstream"
)

// EngineOrder is one order as it reached an engine.
type EngineOrder struct {
	Upstream string
	Node     string
	Fencing  uint64
	At       time.Time
	// Accepted is false when the engine refused an old fencing number.
	Accepted bool
}

const (
	modelsPath    = "/v1/models"
	modelCapacity = 4
)

// engineState is what an engine holds; models are kept as they were sent.
type engineState struct {
	Models   json.RawMessage `json:"models"`
	Capacity int             `json:"capacity"`
	Fencing  uint64          `json:"fencing"`
}

// Orders returns what engines were told, in order of arrival.
func (u *Upstreams) Orders() []EngineOrder {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]EngineOrder(nil), u.orders...)
}

// models answers an engine's report or takes an order.
func (u *Upstreams) models(to *operatorv1.Upstream, node Endpoint, r upstream.CallRequest) upstream.CallResponse {
	u.mu.Lock()
	defer u.mu.Unlock()
	held := u.engines[to.GetName()]
	if held == nil {
		held = &engineState{Models: json.RawMessage("[]"), Capacity: modelCapacity}
		u.engines[to.GetName()] = held
	}
	if r.Method == http.MethodGet {
		body, _ := json.Marshal(held)
		return upstream.CallResponse{Status: http.StatusOK, Body: body}
	}
	var order engineState
	_ = json.Unmarshal(r.Body, &order)
	taken := EngineOrder{Upstream: to.GetName(), Node: string(node), Fencing: order.Fencing, At: u.clock.Now()}
	checks := to.GetChecksFencing() && !u.faults.IgnoreFencing
	taken.Accepted = !checks || order.Fencing >= held.Fencing
	u.orders = append(u.orders, taken)
	if !taken.Accepted {
		return upstream.CallResponse{Status: http.StatusConflict}
	}
	held.Fencing, held.Models = order.Fencing, order.Models
	return upstream.CallResponse{Status: http.StatusOK}
}
