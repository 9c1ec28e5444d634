// Package reach connects a node to upstreams: directly, or through another node while the direct
// path is cut.
//
// A node whose own path to an upstream is cut can't tell that from a failed upstream by itself. It
// asks another node for a connection: if that one reaches the upstream, only the path is at fault,
// and requests go on through the other node; if none does, the upstream is taken for failed and
// connections to it fail at once. What is sent, retried and billed stays the decision of the node
// that serves the caller; the other node only copies bytes. A connection for another node is never
// relayed further.
//
// The package decides by what it observes on connections: attempts that fail, and data that is
// awaited and doesn't come. Opening sockets and speaking to other nodes is left to its
// dependencies.
package reach
