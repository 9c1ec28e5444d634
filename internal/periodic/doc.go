// Package periodic runs work repeatedly at an interval of an injected clock.
package periodic
