// Package prefix names the leading blocks of a prompt, so that routers and engines mean
// the same by a cached prefix without sharing a tokenizer.
package prefix
