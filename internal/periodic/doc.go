// Package periodic repeats work at intervals of an injected clock.
package periodic
