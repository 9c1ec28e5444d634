// Package cache remembers which engines probably hold which prompt prefixes.
//
// It is a hint: events come late and with gaps, engines drop blocks unheard, and the
// table forgets under pressure. A wrong hint costs a prefill, never an answer.
package cache
