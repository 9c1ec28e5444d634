package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
)

const (
	hexBase       = 16
	hashBits      = 64
	loadRequestID = "load"
)

// LoadReader reads engines' load reports and cache events through a Client.
type LoadReader struct {
	Client Client
}

var (
	_ routing.LoadSource       = LoadReader{}
	_ routing.CacheEventSource = LoadReader{}
)

// loadBody is an engine's response to GET /v1/load.
type loadBody struct {
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	PendingTokens int     `json:"pending_tokens"`
	MemoryUsed    float64 `json:"memory_used"`
	// AgeMS is the age of the sample in milliseconds, by the engine's own clock.
	AgeMS int64 `json:"age_ms"`
	// SoftwareVersion is the version of the engine's software.
	SoftwareVersion string `json:"software_version,omitempty"`

	Models []loadModel `json:"models,omitempty"`
}

// loadModel is a model that an engine holds.
type loadModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// cacheEventsBody is an engine's response to GET /v1/cache-events.
type cacheEventsBody struct {
	Events []cacheEventBody `json:"events"`
}

// cacheEventBody is one event; the hash is in hexadecimal.
type cacheEventBody struct {
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
	Stored   bool   `json:"stored"`
}

// Load implements routing.LoadSource.
func (l LoadReader) Load(ctx context.Context, target *operatorv1.Upstream) (routing.LoadReport, error) {
	var body loadBody
	if err := l.get(ctx, target, "/v1/load", &body); err != nil {
		return routing.LoadReport{}, err
	}
	report := routing.LoadReport{
		Age:     time.Duration(max(0, body.AgeMS)) * time.Millisecond,
		Running: body.Running, Waiting: body.Waiting, PendingTokens: body.PendingTokens, MemoryUsed: body.MemoryUsed, SoftwareVersion: body.SoftwareVersion,
	}
	for _, m := range body.Models {
		report.Models = append(report.Models, routing.LoadedModel{Model: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return report, nil
}

// CacheEvents implements routing.CacheEventSource.
func (l LoadReader) CacheEvents(ctx context.Context, target *operatorv1.Upstream, after uint64) ([]routing.CacheEvent, error) {
	var body cacheEventsBody
	if err := l.get(ctx, target, fmt.Sprintf("/v1/cache-events?after=%d", after), &body); err != nil {
		return nil, err
	}
	events := make([]routing.CacheEvent, 0, len(body.Events))
	for _, e := range body.Events {
		hash, err := strconv.ParseUint(e.Hash, hexBase, hashBits)
		if err != nil {
			return nil, result.New(result.UpstreamFailed, "%s: cache event %d: %v", target.GetName(), e.Sequence, err)
		}
		events = append(events, routing.CacheEvent{Sequence: e.Sequence, Hash: hash, Stored: e.Stored})
	}
	return events, nil
}

func (l LoadReader) get(ctx context.Context, target *operatorv1.Upstream, path string, out any) error {
	response, err := l.Client.Call(ctx, target, CallRequest{ID: loadRequestID, Method: "GET", Path: path})
	if err != nil {
		return err
	}
	if response.Status != statusOK {
		return result.New(result.UpstreamFailed, "%s answered %d to %s", target.GetName(), response.Status, path)
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return result.New(result.UpstreamFailed, "%s: %s: %v", target.GetName(), path, err)
	}
	return nil
}
