// Package config folds operators' changes into versioned resources and publishes them as
// immutable views for the request path.
//
// The version of a resource is the log offset of the last change that set it. A change
// specifies the version it is based on and is refused if another change came first.
package config
