// Package catalog holds one version of the operators' configuration as an immutable
// view: which route a request takes, which service serves it and which client account
// a key belongs to.
//
// Readers on the request path take the current view with one atomic load and keep it
// for the whole request. Holder only ever replaces a view by a newer version, so that
// a process never goes back to an older configuration.
package catalog
