package standin

import (
	"context"
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"
)

// maxModels is how many models an engine can hold.
const maxModels = 4

// engineModel is one model as the engine reports it.
type engineModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// engineModels is the engine's reported model state, guarded by Engine.mu. The stand-in serves
// every model regardless: orders are verified by what it reports.
type engineModels struct {
	Models   []engineModel `json:"models"`
	Capacity int           `json:"capacity"`
	Fencing  uint64        `json:"fencing"`
	Role     string        `json:"role"`
	Roles    []string      `json:"roles"`
}

// engineRoles are the roles that an engine accepts; it behaves the same in each.
var engineRoles = []string{"mixed", "prefill", "decode"}

type engineOrder struct {
	Fencing uint64        `json:"fencing"`
	Models  []engineModel `json:"models"`
	Role    string        `json:"role"`
}

func (e *Engine) serveModels(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	report := e.models
	e.mu.Unlock()
	report.Capacity = maxModels
	report.Roles = engineRoles
	if report.Role == "" {
		report.Role = engineRoles[0]
	}
	c.Header("X-Request-Id", string(c.GetHeader("X-Request-Id")))
	c.JSON(200, report)
}

// serveOrder applies an order. Unless IgnoreFencing is set, it rejects one whose fencing number
// is lower than the highest seen.
func (e *Engine) serveOrder(_ context.Context, c *app.RequestContext) {
	c.Header("X-Request-Id", string(c.GetHeader("X-Request-Id")))
	var order engineOrder
	if err := json.Unmarshal(c.Request.Body(), &order); err != nil {
		c.String(400, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.options.IgnoreFencing && order.Fencing < e.models.Fencing {
		c.String(409, "old fencing number")
		return
	}
	e.models.Fencing = order.Fencing
	e.models.Models = order.Models
	e.models.Role = order.Role
	c.String(200, "taken")
}
