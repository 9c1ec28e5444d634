package orders

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/google/uuid"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

// HTTPClient implements Client over an upstream client: GET and POST /v1/models.
type HTTPClient struct {
	Upstreams upstream.Client
}

var _ Client = HTTPClient{}

const modelsPath = "/v1/models"

// Report implements Client.
func (c HTTPClient) Report(ctx context.Context, engine *operatorv1.Upstream) (Report, error) {
	response, err := c.Upstreams.Call(ctx, engine, upstream.CallRequest{ID: uuid.NewString(), Method: http.MethodGet, Path: modelsPath})
	if err != nil {
		return Report{}, err
	}
	var report Report
	if err := json.Unmarshal(response.Body, &report); err != nil {
		return Report{}, result.New(result.UpstreamFailed, "%s: report: %v", engine.GetName(), err)
	}
	return report, nil
}

// Send implements Client.
func (c HTTPClient) Send(ctx context.Context, engine *operatorv1.Upstream, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	response, err := c.Upstreams.Call(ctx, engine, upstream.CallRequest{ID: uuid.NewString(), Method: http.MethodPost, Path: modelsPath, Body: body})
	if err != nil {
		return err
	}
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return result.New(result.NotHolder, "%s has seen a higher fencing number", engine.GetName())
	default:
		return result.New(result.UpstreamFailed, "%s answered the order with %d", engine.GetName(), response.Status)
	}
}
