package reach

import (
	"io"
	"net"
	"net/http"
	"time"
)

// headerReason says why a node opens no connection for another one.
const headerReason = "X-Reason"

// ConnectHandler serves requests of other nodes for connections (HTTP CONNECT) and passes all other
// requests on. Only addresses accepted by isNode are served.
func ConnectHandler(d *Dialer, isNode func(ip string) bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect {
			next.ServeHTTP(w, r)
			return
		}
		if ip, _, err := net.SplitHostPort(r.RemoteAddr); err != nil || !isNode(ip) {
			http.Error(w, "not a node of this fleet", http.StatusForbidden)
			return
		}
		upstream, err := d.OpenFor(r.Context(), r.Host)
		if err != nil {
			w.Header().Set(headerReason, err.Error())
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			_ = upstream.Close() // nothing was sent on it
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		relay(conn, buffered, upstream)
	})
}

// relay copies between a node and an upstream until one of them ends the connection.
func relay(node net.Conn, fromNode io.Reader, upstream net.Conn) {
	_ = node.SetDeadline(time.Time{}) // the server's limits are those of a request
	if _, err := io.WriteString(node, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		Abort(node)
		_ = upstream.Close() // nothing was sent on it
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		to := &recordingWriter{Writer: upstream}
		_, _ = io.Copy(to, fromNode) // whatever ended it, the node wants nothing more
		if !to.failed {
			Abort(upstream)
			return
		}
		_, _ = io.Copy(io.Discard, fromNode) // what the upstream sent before it stopped reading is still passed on
	}()
	err := copyFrames(node, upstream)
	Abort(upstream)
	if err != nil {
		Abort(node)
	} else {
		closeDrained(node, done)
	}
	<-done
}

// maxDrainTime bounds for how long a node may take to read the last frame and close its connection.
const maxDrainTime = 5 * time.Second

// closeDrained closes a connection to a node in order, once the node has closed it. A socket that is closed with bytes unread resets
// the connection and drops what is still to be sent, and a node that got an answer early may still be sending the request.
func closeDrained(node net.Conn, drained <-chan struct{}) {
	if half, ok := node.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = node.SetReadDeadline(time.Now().Add(maxDrainTime)) // one that fails has ended
		<-drained
	}
	_ = node.Close() // it has sent everything
}

// recordingWriter records whether a write failed.
type recordingWriter struct {
	io.Writer
	failed bool
}

// Write implements io.Writer.
func (w *recordingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.failed = w.failed || err != nil
	return n, err
}
