// Package standin provides small stand-ins for the fleet's external dependencies: the
// platform's log, instance list and weight store, model engines and plain services.
// Most can inject faults. They exist for tests, the development command and
// measurements; none is meant for production.
package standin
