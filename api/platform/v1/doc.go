// Package platformv1 is the protocol of the platform's log, instance list and weight store.
package platformv1
