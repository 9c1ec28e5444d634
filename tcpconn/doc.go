// Package tcpconn opens and accepts TCP connections that end when their peer can't be reached.
//
// An instance that lost power or is behind a partition answers nothing, and a connection to it hangs for
// a quarter of an hour unless it has a limit. Libraries set limits of their own on some connections
// (a keep-alive, and with it a user timeout that also decides when the keep-alive gives up), so each
// connection gets its limits here, explicitly.
package tcpconn
