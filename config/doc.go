// Package config folds operators' changes into versioned resources and publishes
// them as immutable views for the request path.
//
// A resource's version is the log offset of the change that set it last. A change
// names the version it was made against and is refused when another came first.
package config
