package main

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/tlskeys"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	operatorToken = "process-operator"
	pollInterval  = 20 * time.Millisecond
	// spendRight is the nodes' --spend-right, short so that a pause outlasts it.
	spendRight = 3 * time.Second
	heartbeat  = 500 * time.Millisecond
)

// process is a program that the test started; it is signalled by its own process ID.
type process struct {
	t    *testing.T
	path string
	args []string
	cmd  *exec.Cmd
}

func (p *process) start() {
	p.t.Helper()
	is := is.New(p.t)
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stderr = os.Stderr
	if !testing.Verbose() {
		p.cmd.Stderr = nil
	}
	is.NoErr(p.cmd.Start())
	cmd := p.cmd
	p.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// nodeProcess is a node's process with the addresses that it listens on.
type nodeProcess struct {
	process
	http, operator, peer string
}

// processFleet is a fleet of separate processes over loopback. The plain service runs in
// the test process, so that the test can count its executions.
type processFleet struct {
	t            *testing.T
	dir          string
	platform     string
	nodes        []*nodeProcess
	plainService *standin.Service
	upstreams    []*operatorv1.Upstream
}

func buildPrograms(t *testing.T, dir string, names ...string) {
	t.Helper()
	is := is.New(t)
	for _, name := range names {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "lavenderpin.dev/lavenderpin/cmd/"+name).CombinedOutput()
		if err != nil {
			t.Log(string(out))
		}
		is.NoErr(err)
	}
}

// loopbackIP returns a loopback IP address derived from the process ID, which only this test
// process uses, so that no other test can take a port before a started process binds it.
func loopbackIP() string {
	pid := os.Getpid()
	return net.IPv4(127, 1+byte(pid>>16), byte(pid>>8), byte(pid)).String()
}

// drawnPorts holds the addresses that freePort has returned. A port is closed again before its
// process binds it, so the system may offer it twice.
var drawnPorts sync.Map

// freePort returns a loopback address that is free for TCP and UDP and differs from all others
// that it returned.
func freePort(t *testing.T) string {
	t.Helper()
	for {
		address := offeredPort(t)
		if _, drawn := drawnPorts.LoadOrStore(address, struct{}{}); !drawn {
			return address
		}
	}
}

// offeredPort returns an address that the system offers.
func offeredPort(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	tcp, err := net.Listen("tcp", net.JoinHostPort(loopbackIP(), "0"))
	is.NoErr(err)
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp", tcp.Addr().String())
	is.NoErr(err)
	defer func() { _ = udp.Close() }()
	return tcp.Addr().String()
}

func startProcessFleet(t *testing.T) *processFleet {
	t.Helper()
	f := &processFleet{t: t, dir: t.TempDir()}
	buildPrograms(t, f.dir, "lavenderpin", "lavenderstub")
	f.writeCertificates("node-0", "node-1", "node-2")
	f.platform = freePort(t)
	f.startStub("platform", "--listen", f.platform)
	regions := []string{"gulf-maine", "gulf-maine", "southern-new-england"}
	for i, region := range []string{"gulf-maine", "southern-new-england"} {
		address := freePort(t)
		f.startStub("engine", "--listen", address, "--token-time", "5ms")
		f.upstreams = append(f.upstreams, &operatorv1.Upstream{Name: "engine-" + region, Service: "chat", Address: address, Region: region, DataCentre: regions[i] + "-a"})
	}
	f.startPlainService()
	for i, region := range regions {
		f.nodes = append(f.nodes, f.newNode(i, region))
	}
	for _, n := range f.nodes {
		n.start()
	}
	f.awaitServing()
	return f
}

func (f *processFleet) writeCertificates(names ...string) {
	is := is.New(f.t)
	authority, err := tlskeys.NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	is.NoErr(os.WriteFile(filepath.Join(f.dir, "authority.pem"), authority.Cert, 0o600))
	for _, name := range names {
		pair, err := authority.Issue(time.Now(), time.Hour)
		is.NoErr(err)
		is.NoErr(os.WriteFile(filepath.Join(f.dir, name+".pem"), pair.Cert, 0o600))
		is.NoErr(os.WriteFile(filepath.Join(f.dir, name+".key"), pair.Key, 0o600))
	}
}

func (f *processFleet) startStub(args ...string) {
	p := &process{t: f.t, path: filepath.Join(f.dir, "lavenderstub"), args: args}
	p.start()
	f.awaitListening(args[2])
}

func (f *processFleet) startPlainService() {
	is := is.New(f.t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f.plainService = standin.NewService(listener, time.Millisecond)
	go func() { _ = f.plainService.Run() }()
	f.t.Cleanup(f.plainService.Close)
	f.upstreams = append(f.upstreams, &operatorv1.Upstream{Name: "plain", Service: "orders", Address: listener.Addr().String(),
		Region: "gulf-maine", DataCentre: "gulf-maine-a"})
}

func (f *processFleet) newNode(i int, region string) *nodeProcess {
	n := &nodeProcess{http: freePort(f.t), operator: freePort(f.t), peer: freePort(f.t)}
	name := filepath.Join(f.dir, "node-"+string(rune('0'+i)))
	n.process = process{t: f.t, path: filepath.Join(f.dir, "lavenderpin"), args: []string{
		"serve", "--region", region, "--data-centre", region + "-a", "--http", n.http, "--operator", n.operator, "--peer", n.peer,
		"--platform", f.platform, "--authority", filepath.Join(f.dir, "authority.pem"), "--cert", name + ".pem", "--key", name + ".key",
		"--operator-plaintext", "--token-secret", "a secret of the process test, 32 bytes",
		"--bootstrap-token-hash", config.HashKey(operatorToken), "--heartbeat", heartbeat.String(), "--spend-right", spendRight.String(),
		"--address-lifetime", "500ms", "--claim-chunk", "2000",
	}}
	return n
}

func (f *processFleet) awaitListening(address string) {
	for {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return
		}
		time.Sleep(pollInterval)
	}
}

// awaitServing waits until every node reports that it serves; only the test's timeout
// bounds the wait.
func (f *processFleet) awaitServing() {
	for _, n := range f.nodes {
		for !isHealthy(n.http) {
			time.Sleep(pollInterval)
		}
	}
}

func isHealthy(address string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *processFleet) operatorClient(n *nodeProcess) operatorv1.OperatorServiceClient {
	is := is.New(f.t)
	conn, err := grpc.NewClient("passthrough:///"+n.operator, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	f.t.Cleanup(func() { _ = conn.Close() })
	return operatorv1.NewOperatorServiceClient(conn)
}
