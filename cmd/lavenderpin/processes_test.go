package main

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	testToken = "process-operator"
	pollEvery = 20 * time.Millisecond
	// rightOf is the nodes' right to spend, short so that a pause outlasts it.
	rightOf   = 3 * time.Second
	heartbeat = 500 * time.Millisecond
)

// process is one program that the test started; it is ended by its own id.
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

// nodeProcess is a node with its addresses.
type nodeProcess struct {
	process
	http, operator, peer string
}

// processFleet is a fleet of separate processes over loopback. The plain service
// stands in the test, which counts what it runs.
type processFleet struct {
	t        *testing.T
	dir      string
	platform string
	nodes    []*nodeProcess
	plain    *standin.Service
	ups      []*operatorv1.Upstream
}

func build(t *testing.T, dir string, names ...string) {
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

// ownLoopback is a loopback IP number that only this test process listens on, so that
// no other test can take a port between its choice and its use by a started process.
func ownLoopback() string {
	pid := os.Getpid()
	return net.IPv4(127, 1+byte(pid>>16), byte(pid>>8), byte(pid)).String()
}

// freePort returns a loopback address that is free for TCP and UDP.
func freePort(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	tcp, err := net.Listen("tcp", net.JoinHostPort(ownLoopback(), "0"))
	is.NoErr(err)
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp", tcp.Addr().String())
	is.NoErr(err)
	defer func() { _ = udp.Close() }()
	return tcp.Addr().String()
}

func startProcesses(t *testing.T) *processFleet {
	t.Helper()
	f := &processFleet{t: t, dir: t.TempDir()}
	build(t, f.dir, "lavenderpin", "lavenderstub")
	f.writeKeys("node-0", "node-1", "node-2")
	f.platform = freePort(t)
	f.stub("platform", "--listen", f.platform)
	regions := []string{"gulf-maine", "gulf-maine", "southern-new-england"}
	for i, region := range []string{"gulf-maine", "southern-new-england"} {
		at := freePort(t)
		f.stub("engine", "--listen", at, "--token-time", "5ms")
		f.ups = append(f.ups, &operatorv1.Upstream{Name: "engine-" + region, Service: "chat", Address: at, Region: region, DataCentre: regions[i] + "-a"})
	}
	f.startPlain()
	for i, region := range regions {
		f.nodes = append(f.nodes, f.node(i, region))
	}
	for _, n := range f.nodes {
		n.start()
	}
	f.awaitServing()
	return f
}

func (f *processFleet) writeKeys(names ...string) {
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

func (f *processFleet) stub(args ...string) {
	p := &process{t: f.t, path: filepath.Join(f.dir, "lavenderstub"), args: args}
	p.start()
	f.awaitDial(args[2])
}

func (f *processFleet) startPlain() {
	is := is.New(f.t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f.plain = standin.NewService(listener, time.Millisecond)
	go func() { _ = f.plain.Run() }()
	f.t.Cleanup(f.plain.Close)
	f.ups = append(f.ups, &operatorv1.Upstream{Name: "plain", Service: "orders", Address: listener.Addr().String(),
		Region: "gulf-maine", DataCentre: "gulf-maine-a"})
}

func (f *processFleet) node(i int, region string) *nodeProcess {
	n := &nodeProcess{http: freePort(f.t), operator: freePort(f.t), peer: freePort(f.t)}
	name := filepath.Join(f.dir, "node-"+string(rune('0'+i)))
	n.process = process{t: f.t, path: filepath.Join(f.dir, "lavenderpin"), args: []string{
		"serve", "--region", region, "--data-centre", region + "-a", "--http", n.http, "--operator", n.operator, "--peer", n.peer,
		"--platform", f.platform, "--authority", filepath.Join(f.dir, "authority.pem"), "--cert", name + ".pem", "--key", name + ".key",
		"--operator-plaintext", "--token-secret", "a secret of the process test, 32 bytes",
		"--bootstrap-token-hash", config.HashKey(testToken), "--heartbeat", heartbeat.String(), "--spend-right", rightOf.String(),
		"--address-lifetime", "500ms", "--claim-chunk", "2000",
	}}
	return n
}

func (f *processFleet) awaitDial(address string) {
	for {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return
		}
		time.Sleep(pollEvery)
	}
}

// awaitServing waits until every node says that it serves; the test's own time
// limit ends the wait.
func (f *processFleet) awaitServing() {
	for _, n := range f.nodes {
		for !healthy(n.http) {
			time.Sleep(pollEvery)
		}
	}
}

func healthy(address string) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (f *processFleet) operatorOf(n *nodeProcess) operatorv1.OperatorServiceClient {
	is := is.New(f.t)
	conn, err := grpc.NewClient("passthrough:///"+n.operator, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	f.t.Cleanup(func() { _ = conn.Close() })
	return operatorv1.NewOperatorServiceClient(conn)
}
