// Package signed creates and verifies short signed tokens that callers keep and send
// back: tickets and stream cursors. Only nodes of the fleet can create them, since all
// nodes share one secret from their settings.
package signed
