package httpwire

import (
	"encoding/json"
	"io"
	"net/http"
)

// ReadJSON decodes a message that PostJSON sent, of at most limit bytes. If it can't be read, the sender is told so and the
// result is false.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, message any) bool {
	raw, err := io.ReadAll(io.LimitReader(r.Body, limit))
	if err != nil {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return false
	}
	if err := json.Unmarshal(raw, message); err != nil {
		http.Error(w, "not a valid message", http.StatusBadRequest)
		return false
	}
	return true
}
