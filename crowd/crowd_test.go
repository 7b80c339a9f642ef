// Package crowd tests that a daemon stays within the memory and the file descriptors of
// its host while many clients send requests of legal size and unusual form. Each test
// runs a daemon process and checks only that it is alive, that its memory and its open
// descriptors stayed under the limits that its settings state, and that it serves an
// ordinary request afterwards. Bytes that the operating system holds for the daemon's
// connections count as memory.
package crowd

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/stretchr/testify/require"
)

const (
	// clients is the number of connections of a crowd.
	clients = 400
	// memoryLimit is the memory of the smallest host.
	memoryLimit = 136 * unit.MiB
	// descriptorLimit suffices for a connection of each client and one to a target for
	// each of them.
	descriptorLimit = 1024
	// sectionSize is the size of the header sections, under the limit of 16,384 bytes.
	sectionSize = 15_000
	// responseSectionSize is the size of the header sections of responses, under the limit
	// of 64 KiB.
	responseSectionSize = 60_000
	// serviceTime is how long targets work on a request of the crowd.
	serviceTime = 3 * time.Second
	// crowdTime is how long a crowd sends that does not end on its own.
	crowdTime = 5 * time.Second
	// recoveryTime bounds the wait for a response to an ordinary request.
	recoveryTime = 30 * time.Second
	// longPause is how long callers may pause where a test checks what ends such a pause
	// sooner. It is longer than the test.
	longPause = 10 * time.Minute
	hostName  = "crowd.test"
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "briarrouter")
	if out, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// config is how a test runs its daemon. The zero value stands for the defaults.
type config struct {
	// descriptors is the number of open descriptors that the settings state;
	// descriptorLimit if it is zero.
	descriptors int
	// connections bounds the connections of callers; if it is zero, the bound follows from
	// the memory and the descriptors.
	connections int
	// bodyBuffer is the size of the largest body that is buffered for a retry; 1 MiB if it
	// is zero. Larger ones are streamed.
	bodyBuffer unit.Bytes
	// pause is how long a caller may pause within a body or a response; 10 s if it is zero.
	pause time.Duration
	// maxBody is the size of the largest body that the configuration allows; 1 MiB if it
	// is zero.
	maxBody unit.Bytes
	// unreadLog means that nobody reads the log.
	unreadLog bool
}

// daemon is a daemon process with fakes of the store and of targets.
type daemon struct {
	t                                 *testing.T
	cfg                               config
	process                           *exec.Cmd
	callers, resolve, peers, operator id.Address
	// ordinaryPath is the path of the ordinary request that is served afterwards.
	ordinaryPath string
	// targets holds the addresses of the targets.
	targets []id.Address
	// log is the path of the log file.
	log          string
	stopSampling context.CancelFunc
	sampling     sync.WaitGroup
	// exited is closed when the process has exited.
	exited chan struct{}
	// mostDescriptors is the largest number of open descriptors seen, mostMemory the
	// largest sum of the resident memory and of what the operating system holds.
	mostDescriptors int
	mostMemory      unit.Bytes
}

// startDaemon starts a daemon whose settings state memoryLimit, and waits until it serves
// an ordinary request. Requests below /work take serviceTime at targets. The target of
// /unread reads no request, that of /slow reads slowly, and that of /few has few slots.
func startDaemon(t *testing.T, cfg config) *daemon {
	if testing.Short() {
		t.Skip("crowds run on their own, without -short")
	}
	cfg.descriptors = cmp.Or(cfg.descriptors, descriptorLimit)
	cfg.bodyBuffer = cmp.Or(cfg.bodyBuffer, unit.MiB)
	cfg.pause = cmp.Or(cfg.pause, 10*time.Second)
	store := platformtest.NewStore()
	store.SetMaxBody(cmp.Or(cfg.maxBody, unit.MiB))
	storeListener, err := platformtest.Listen("")
	require.NoError(t, err)
	server := &http.Server{Handler: store.Handler()}
	go server.Serve(storeListener)
	t.Cleanup(func() { server.Close() })
	d := &daemon{t: t, cfg: cfg, callers: freeAddress(t), resolve: freeAddress(t), peers: freeAddress(t), operator: freeAddress(t), exited: make(chan struct{}), ordinaryPath: "/quick/"}
	store.Publish(1, []id.Service{"s", "unread", "lines", "slow", "few"}, []platformtest.Route{
		{Name: "lines", Host: hostName, Path: "/lines/", Idempotent: true, Service: "lines", Timeout: 20 * time.Second, Objective: time.Second, Attempts: 2},
		{Name: "unread", Host: hostName, Path: "/unread/", Service: "unread", Timeout: 20 * time.Second, Objective: time.Second, Attempts: 1},
		{Name: "slow", Host: hostName, Path: "/slow/", Service: "slow", Timeout: 20 * time.Second, Objective: time.Second, Attempts: 1},
		{Name: "few", Host: hostName, Path: "/few/", Service: "few", Timeout: longPause, Objective: time.Second, Attempts: 2},
		{Name: "work", Host: hostName, Path: "/work/", Idempotent: true, Service: "s", Timeout: 20 * time.Second, Objective: 10 * time.Second, Attempts: 2},
		{Name: "upload", Host: hostName, Path: "/upload/", Service: "s", Timeout: longPause, Objective: 10 * time.Second, Attempts: 1},
		{Name: "quick", Host: hostName, Path: "/quick/", Idempotent: true, Service: "s", Timeout: longPause, Objective: time.Second, Attempts: 2},
	}, nil)
	for i := range 2 {
		d.startTarget(store, id.Target(fmt.Sprintf("t%d", i)), "s", 300)
	}
	d.startTarget(store, "f", "few", fewSlots)
	d.register(store, "u", "unread", serveConns(t, func(net.Conn) {}))
	d.register(store, "p", "slow", serveConns(t, readSlowly))
	for i := range 2 {
		d.register(store, id.Target(fmt.Sprintf("l%d", i)), "lines", serveConns(t, respondInLines))
	}
	d.start(id.Address(storeListener.Addr().String()))
	d.requireServing(d.ordinaryPath)
	return d
}

// fewSlots is the number of slots of the only target of /few.
const fewSlots = 4

// startTarget starts a target and registers it.
func (d *daemon) startTarget(store *platformtest.Store, name id.Target, service id.Service, slots unit.Slots) {
	target, err := platformtest.NewTarget(platformtest.TargetConfig{
		ID: name, Service: service, Slots: slots, Seed: 1,
		Duration: func(_ *rand.Rand, path string) time.Duration {
			if strings.HasPrefix(path, "/work") {
				return serviceTime
			}
			return time.Millisecond
		},
		Padding: func(path string) int {
			switch {
			case strings.HasPrefix(path, "/quick/large"):
				return 200_000
			case strings.HasPrefix(path, "/quick/huge"):
				return 8_000_000
			default:
				return 0
			}
		},
		OnArrive: func(platformtest.Run) {}, OnRun: func(platformtest.Run) {}, OnStatement: func(platformtest.Statement) {},
	})
	require.NoError(d.t, err)
	d.t.Cleanup(target.Crash)
	d.targets = append(d.targets, target.Address())
	store.Register(platformtest.Registration{ID: name, Service: service, Address: target.Address(), FailureDomain: "a", Slots: slots, Born: 1})
}

func (d *daemon) register(store *platformtest.Store, name id.Target, service id.Service, address id.Address) {
	d.targets = append(d.targets, address)
	store.Register(platformtest.Registration{ID: name, Service: service, Address: address, FailureDomain: "a", Slots: 300, Born: 1})
}

// serveConns starts a target that accepts connections, for each of which it calls serve,
// and closes them at the end of the test.
func serveConns(t *testing.T, serve func(net.Conn)) id.Address {
	l, err := platformtest.Listen("")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conn.(*net.TCPConn).SetReadBuffer(4096)
			t.Cleanup(func() { conn.Close() })
			go serve(conn)
		}
	}()
	return id.Address(l.Addr().String())
}

// respondInLines responds to a request with a header section of many lines that takes a
// while.
func respondInLines(conn net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
	for i := 0; b.Len() < responseSectionSize; i++ {
		b.WriteString(shortName(i) + ":\r\n")
	}
	conn.Write(b.Bytes())
	time.Sleep(serviceTime)
	conn.Write([]byte("\r\n"))
}

// readSlowly reads a request at some 20 KB/s.
func readSlowly(conn net.Conn) {
	piece := make([]byte, 1024)
	for {
		if _, err := conn.Read(piece); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *daemon) start(store id.Address) {
	dir := d.t.TempDir()
	settings := filepath.Join(dir, "daemon.ini")
	text := fmt.Sprintf(`[Host]
Name = h
FailureDomain = a
[Listen]
Callers = %s
Peers = %s
Operator = %s
[Directory]
Resolve = %s
Ready = %s
[Store]
Address = %s
[Limits]
Memory = %s
Descriptors = %d
BodyBuffer = %s
%s[Timing]
Hold = 1s
Stop = 2s
Join = 100ms
SlowCaller = %s
`, d.callers, d.peers, d.operator, d.resolve, freeAddress(d.t), store, memoryLimit, d.cfg.descriptors, d.cfg.bodyBuffer, d.cfg.connectionSetting(), d.cfg.pause)
	require.NoError(d.t, os.WriteFile(settings, []byte(text), 0o600))
	d.log = filepath.Join(dir, "log")
	log, err := os.Create(d.log)
	require.NoError(d.t, err)
	if d.cfg.unreadLog {
		unread, writer, err := os.Pipe()
		require.NoError(d.t, err)
		d.t.Cleanup(func() { unread.Close() })
		log.Close()
		log = writer
	}
	d.process = exec.Command(binary, "serve", "--settings", settings)
	d.process.Stdout, d.process.Stderr = log, log
	require.NoError(d.t, d.process.Start())
	go func() {
		d.process.Wait()
		close(d.exited)
	}()
	d.t.Cleanup(func() {
		d.process.Process.Kill()
		<-d.exited
		log.Close()
		if d.t.Failed() {
			text, _ := os.ReadFile(d.log)
			d.t.Logf("daemon: %v; log: %.4000s\n...\n%s", d.process.ProcessState, text, text[max(0, len(text)-8000):])
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.stopSampling = cancel
	d.sampling.Go(func() { d.sample(ctx) })
}

func (c config) connectionSetting() string {
	if c.connections == 0 {
		return ""
	}
	return fmt.Sprintf("CallerConnections = %d\n", c.connections)
}

// Ports of daemons are below those that the operating system gives to outgoing connections
// and to listeners that state none, which could take a port before its daemon does. The
// tests of different processes begin at different ports.
const (
	firstPort     = 12_000
	portsPerRun   = 150
	concurrentRun = 100
)

// portsUsed counts the ports that freeAddress has tried.
var portsUsed int

func freeAddress(t *testing.T) id.Address {
	for range portsPerRun {
		port := firstPort + os.Getpid()%concurrentRun*portsPerRun + portsUsed%portsPerRun
		portsUsed++
		if l, err := platformtest.Listen(id.Address(fmt.Sprintf("127.0.0.1:%d", port))); err == nil {
			defer l.Close()
			return id.Address(l.Addr().String())
		}
	}
	require.FailNow(t, "no free port")
	return ""
}

func (d *daemon) sample(ctx context.Context) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.Process.Pid)); err == nil {
			d.mostDescriptors = max(d.mostDescriptors, len(entries))
		}
		if resident, err := d.status("VmRSS"); err == nil {
			d.mostMemory = max(d.mostMemory, resident+d.queued())
		}
	}
}

// queued returns how many bytes the operating system holds for the connections to and from
// the daemon: received ones that it has not read, and sent ones that their receiver has not
// taken.
func (d *daemon) queued() unit.Bytes {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local, remote := make(map[string]bool), make(map[string]bool)
	for _, a := range []id.Address{d.callers, d.resolve, d.peers, d.operator} {
		local[hexPort(a)] = true
	}
	for _, a := range d.targets {
		remote[hexPort(a)] = true
	}
	sum := int64(0)
	for line := range strings.Lines(string(data)) {
		// sl local remote state tx:rx ...; in state 0A (listening) they count connections.
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == "0A" || !local[fields[1][max(0, len(fields[1])-4):]] && !remote[fields[2][max(0, len(fields[2])-4):]] {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, text := range []string{sent, received} {
			if n, err := strconv.ParseInt(text, 16, 64); err == nil {
				sum += n
			}
		}
	}
	return unit.Bytes(sum)
}

// hexPort returns the port of an address as /proc/net/tcp shows it.
func hexPort(a id.Address) string {
	_, port, _ := strings.Cut(string(a), ":")
	n, _ := strconv.Atoi(port)
	return fmt.Sprintf("%04X", n)
}

// requireServing waits until the daemon serves an ordinary request for a path.
func (d *daemon) requireServing(path string) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(d.t, func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+string(d.callers)+path, nil)
		require.NoError(d.t, err)
		req.Host = hostName
		req.Header.Set("Briarrouter-Attempt-Id", fmt.Sprintf("ordinary-%d", rand.Int64()))
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK
	}, recoveryTime, 50*time.Millisecond, "an ordinary request is not served")
}

// requireWithinLimits checks the daemon after a crowd.
func (d *daemon) requireWithinLimits() {
	select {
	case <-d.exited:
		require.FailNow(d.t, "the daemon has exited")
	default:
	}
	d.requireServing(d.ordinaryPath)
	d.stopSampling()
	d.sampling.Wait()
	peak, err := d.status("VmHWM")
	require.NoError(d.t, err)
	now, err := d.status("VmRSS")
	require.NoError(d.t, err)
	d.t.Logf("resident memory: %d MiB at the peak, %d MiB now; with the operating system's: %d MiB at the peak; at most %d descriptors",
		peak/unit.MiB, now/unit.MiB, d.mostMemory/unit.MiB, d.mostDescriptors)
	require.LessOrEqual(d.t, peak, memoryLimit, "resident memory at the peak")
	require.LessOrEqual(d.t, d.mostMemory, memoryLimit, "resident memory and bytes of the operating system at the peak")
	require.LessOrEqual(d.t, d.mostDescriptors, d.cfg.descriptors, "open descriptors")
}

// status returns a value in kB of the process's status.
func (d *daemon) status(name string) (unit.Bytes, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, name+":"); ok {
			n, err := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return unit.Bytes(n) * unit.KiB, err
		}
	}
	return 0, fmt.Errorf("no %s in the status of the process", name)
}

// run runs the clients of a crowd, each with a number of its own, until all have ended.
func run(client func(i int)) {
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() { client(i) })
	}
	group.Wait()
}

// exchange opens a connection, sends a request and reads what comes back until the
// connection ends, a response has arrived or some seconds have passed.
func exchange(address id.Address, request []byte) {
	conn, err := net.DialTimeout("tcp", string(address), crowdTime)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(serviceTime + crowdTime))
	if _, err := conn.Write(request); err != nil {
		return
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// requestHead returns the start of a request of a client up to the fields that it adds.
func requestHead(method string, client int) []byte {
	return fmt.Appendf(nil, "%s /work/ HTTP/1.1\r\nHost: %s\r\nBriarrouter-Attempt-Id: c-%d-%d\r\n", method, hostName, client, rand.Int64())
}

// sectionOf returns a request with a header section of sectionSize bytes, made of lines.
func sectionOf(client int, line func(i int) string) []byte {
	head := requestHead(http.MethodGet, client)
	for i := 0; ; i++ {
		next := line(i)
		if len(head)+len(next)+2 > sectionSize {
			return append(head, "\r\n"...)
		}
		head = append(head, next...)
	}
}

// shortName returns a different name for each number, in as few letters as possible.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	name := []byte{letters[i%len(letters)]}
	for i /= len(letters); i > 0; i /= len(letters) {
		i--
		name = append(name, letters[i%len(letters)])
	}
	return string(name)
}

// trailers returns the trailer section of a chunked body.
func trailers(size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s:\r\n", shortName(i))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
