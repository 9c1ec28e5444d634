// Package catalog holds one version of the operators' configuration as an immutable view: which
// route a request takes, which service serves it and which client account a key belongs to.
//
// Readers on the request path load the current view atomically once and use it for the whole
// request. Holder only replaces a view by a newer version, so a process never returns to an
// older configuration.
package catalog
