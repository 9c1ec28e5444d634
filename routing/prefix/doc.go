// Package prefix hashes the leading blocks of a prompt, so that routers and engines identify
// a cached prefix alike without sharing a tokenizer.
package prefix
