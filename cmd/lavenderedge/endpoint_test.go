package main

import (
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/tcpconn"
)

// Guards against a node that accepts requests and then exits because another port is in use.
func TestNothingIsServedIfAPortIsInUse(t *testing.T) {
	is := is.New(t)
	used, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = used.Close() }()
	frontend := net.JoinHostPort("127.0.0.1", strconv.Itoa(freePort(t)))
	err = serveAll(&tcpconn.Meter{}, []endpoint{{address: frontend, server: &http.Server{}}, {address: used.Addr().String(), server: &http.Server{}}})
	is.True(err != nil)
	_, err = net.Dial("tcp", frontend)
	is.True(err != nil)
}
