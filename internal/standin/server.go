package standin

import (
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const maxBodyBytes = 8 << 20

func newServer(listener net.Listener) *server.Hertz {
	s := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(100*time.Millisecond),
		server.WithDisableDefaultDate(true),
	)
	s.Use(rejectExpired)
	return s
}
