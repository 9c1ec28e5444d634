// Package standin holds small stand-ins for what surrounds the fleet: the
// platform's log, instance list and weight store, model engines and plain
// services. Each has fault switches. They exist for tests, for the development
// command and for measurements; none is meant for production.
package standin
