// Package linkload decides by a request's headers, before its body is read, whether a node whose link is crowded admits it.
//
// While callers ask for more than the link carries, requests that use the least of it are admitted first. Of every size, route
// and client account a minimum share is admitted as well.
package linkload
