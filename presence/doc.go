// Package presence knows which nodes of the fleet serve, from what each writes about
// itself twice a second.
//
// A node that wasn't heard of counts as gone only while the store can be read: when the
// store is out of reach nobody is heard of, and callers must go on finding the nodes.
package presence
