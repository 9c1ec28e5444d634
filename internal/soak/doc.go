// Package soak runs nodes as separate processes on one machine, injects faults from outside
// them by a seeded plan, and judges what callers and upstreams saw.
//
// Store and upstreams are stand-ins in the soak's own process; every connection of a node to
// them goes through a loopback proxy that can delay, reset, silence or refuse it. Nodes are
// stopped, paused, killed and started again by signals. The soak ends only processes that it
// started, by their ids.
package soak
