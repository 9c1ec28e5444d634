package main

import (
	"encoding/json"
	"expvar"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against metrics that whoever collects a few kilobytes of them never sees, since the runtime's own come first.
func TestMetricsAreShort(t *testing.T) {
	is := is.New(t)
	expvar.NewInt("zz_test").Set(7)
	w := httptest.NewRecorder()
	metricsHandler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.True(w.Body.Len() < 1000)
	var values map[string]any
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &values))
	is.Equal(values["zz_test"], 7.0)
	is.True(values["memory"].(map[string]any)["heap_bytes"].(float64) > 0)
}
