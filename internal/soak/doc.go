// Package soak runs nodes as separate processes on one machine, injects faults from outside
// them by a seeded plan, and checks what callers and upstreams observed.
//
// Store and upstreams are stand-ins in the soak's own process; every connection from a node to
// them goes through a loopback proxy that can delay, reset, blackhole or refuse it. Nodes are
// stopped, paused and killed by signals and started again. The soak ends only processes that it
// started, by their ids.
package soak
