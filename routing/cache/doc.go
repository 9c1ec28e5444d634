// Package cache tracks which engines probably have which prompt prefixes cached.
//
// The index is only a hint: events arrive late and with gaps, engines evict blocks without an
// event, and the index itself evicts entries when full. A wrong hint costs a prefill, never
// a wrong answer.
package cache
