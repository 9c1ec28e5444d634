// Package signed makes short texts that callers keep and bring back, and that only
// the fleet can have made: tickets and stream cursors. All nodes share one secret,
// from their settings.
package signed
