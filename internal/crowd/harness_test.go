package crowd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	_ "limpethub/internal/plugins"
	"limpethub/internal/soak"
	_ "limpethub/platform"
	"limpethub/platform/standin"
)

// Limits of the daemon under test. They are small, so that a small crowd reaches them.
const (
	mib = 1 << 20
	// memoryMB is the memory of the machine of the daemon, in MiB; bodyLimit is the longest body that callers may send.
	memoryMB  = 128
	bodyLimit = 1 * mib
	// descriptorLimit is how many descriptors the daemon may have open. reservedDescriptors of them must always be free of callers,
	// for connections to servers, peers and the store.
	descriptorLimit     = 600
	reservedDescriptors = 100
)

const (
	// patience ends a test of which a condition never becomes true. No check depends on it.
	patience = 2 * time.Minute
	// ordinaryDeadline is how long an ordinary caller waits for its answer before it tries again.
	ordinaryDeadline = 5 * time.Second
	pollInterval     = 10 * time.Millisecond
)

// plainServers is the number of backend servers. crowdPrefix begins the ids of the requests of crowds.
const (
	plainServers = 4
	crowdPrefix  = "crowd-"
)

// daemonVariable names the daemon that this program becomes, in a process of its own, after it has lowered its limits.
const daemonVariable = "LIMPETHUB_TEST_DAEMON"

// daemonBinary is the path of the daemon that TestMain builds.
var daemonBinary string

func TestMain(m *testing.M) {
	if binary := os.Getenv(daemonVariable); binary != "" {
		fmt.Fprintln(os.Stderr, becomeDaemon(binary))
		os.Exit(1)
	}
	os.Exit(buildAndRun(m))
}

// becomeDaemon runs the daemon in place of this program. It returns only with an error.
func becomeDaemon(binary string) error {
	limit := unix.Rlimit{Cur: descriptorLimit, Max: descriptorLimit}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("limit the open descriptors: %w", err)
	}
	return syscall.Exec(binary, append([]string{binary}, os.Args[1:]...), os.Environ())
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "limpethub-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if daemonBinary, err = soak.Build(context.Background(), directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// rig is one instance in a process of its own, with a store and backend servers.
type rig struct {
	store                   *standin.Store
	servers                 []*standin.Server
	front, ready, directory string
	logs                    string
	process                 *exec.Cmd
	ended                   chan struct{}
	// giveUpAt is when the test gives up on conditions that aren't true yet.
	giveUpAt time.Time

	mu sync.Mutex
	// peakMemory is the most memory that the process has had, in bytes, and peakDescriptors the most descriptors that were seen.
	peakMemory      int64
	peakDescriptors int
}

// configuration has a route for requests that aren't repeated and one for streams.
const configuration = `{"version":1,"routes":[
 {"name":"desk","host":"h.example","path_prefix":"/desk/","kind":"unsafe","timeout_ms":30000,"target_latency_ms":1000,"priority":2,"service":"desk","max_attempts":2},
 {"name":"draft","host":"h.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":30000,"target_latency_ms":1000,"priority":2,"service":"desk","max_attempts":1}],
 "services":[{"name":"desk"}],"limits":{"max_body_bytes":%d}}`

func startRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{ended: make(chan struct{}), giveUpAt: time.Now().Add(patience)}
	var err error
	if r.store, err = standin.NewStore(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.store.Close)
	r.store.Write(standin.ConfigurationKey, fmt.Appendf(nil, configuration, bodyLimit))
	for n := range plainServers {
		server, err := standin.NewServer(r.store, standin.ServerOptions{ID: fmt.Sprintf("d%d", n), Service: "desk", Zone: "z"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		r.servers = append(r.servers, server)
	}
	r.startProcess(t)
	go r.watch()
	r.answersOrdinary(t, "before the crowd")
	return r
}

// startProcess starts the daemon, whose log goes to a file.
func (r *rig) startProcess(t *testing.T) {
	t.Helper()
	directory := t.TempDir()
	path := filepath.Join(directory, "settings.json")
	if err := os.WriteFile(path, r.settings(t), 0o600); err != nil {
		t.Fatal(err)
	}
	r.logs = filepath.Join(directory, "log")
	logs, err := os.Create(r.logs)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = logs.Close() }()
	r.process = exec.Command(os.Args[0], "--settings", path)
	r.process.Env = append(os.Environ(), daemonVariable+"="+daemonBinary)
	r.process.Stdout, r.process.Stderr = logs, logs
	r.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = r.process.Wait()
		close(r.ended)
	}()
	t.Cleanup(func() {
		_ = r.process.Process.Kill()
		<-r.ended
	})
}

// settings returns the settings of the daemon. They are those of the platform's template but for their limits.
func (r *rig) settings(t *testing.T) []byte {
	t.Helper()
	addresses := freeAddresses(t, 4)
	r.front, r.ready, r.directory = addresses[0], addresses[1], addresses[2]
	return fmt.Appendf(nil, `{
	 "site": "r", "instance": %q, "failure_domain": "z",
	 "listeners": {"callers": {"disabled": true, "advertise": %q}, "operators": {"disabled": true},
	   "peers": {"address": %q, "unauthenticated": true}},
	 "platform": {"plaintext": true, "call_timeout_ms": 1500, "max_back_off_ms": 300}, "servers": {"plaintext": true},
	 "plugins": {"store": {"name": "store.kv", "endpoints": [%q], "options": {"retry_ratio": 0.2, "retry_slack": 56}},
	   "engine": {"name": "engine.relay"}, "discovery": {"name": "discovery.kv"},
	   "instances": {"name": "instances.kv", "options": {"seeds": [], "peer_port": 1}},
	   "front": {"name": "front.relay", "options": {"callers": %q, "ready": %q, "directory": %q, "max_ttl_s": 5}}},
	 "memory_mb": %d, "drain_timeout_s": 4, "entries_ttl_ms": 300, "placement_lease_ms": 900}`,
		addresses[3], r.front, addresses[3], r.store.Address(), r.front, r.ready, r.directory, memoryMB)
}

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(t *testing.T, n int) (addresses []string) {
	t.Helper()
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// watch measures the process until it has ended.
func (r *rig) watch() {
	for {
		r.measure()
		select {
		case <-r.ended:
			return
		case <-time.After(pollInterval):
		}
	}
}

// measure reads the memory and the descriptors of the process. A process that has ended has none.
func (r *rig) measure() {
	folder := fmt.Sprintf("/proc/%d", r.process.Process.Pid)
	status, err := os.ReadFile(filepath.Join(folder, "status"))
	if err != nil {
		return
	}
	descriptors, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peakMemory = max(r.peakMemory, peakMemoryOf(string(status)))
	r.peakDescriptors = max(r.peakDescriptors, len(descriptors))
}

// peakMemoryOf returns the most memory that a process has had, in bytes, by its file status in /proc.
func peakMemoryOf(status string) int64 {
	_, rest, _ := strings.Cut(status, "VmHWM:")
	var kib int64
	_, _ = fmt.Sscan(rest, &kib)
	return kib << 10
}

// lives reports whether the process that was started is still running.
func (r *rig) lives() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// answersOrdinary waits until an ordinary request, a readiness check and a query of the directory have been answered. An ordinary
// caller opens a new connection each time, and tries again after a refusal, a failure or its deadline.
func (r *rig) answersOrdinary(t *testing.T, when string) {
	t.Helper()
	r.eventually(t, "an ordinary request is answered "+when, func(n int) error { return r.ordinary(fmt.Sprintf("ordinary-%d", n)) })
	r.eventually(t, "a readiness check is answered "+when, func(int) error { return get("http://" + r.ready + "/ready") })
	r.eventually(t, "the directory answers "+when, func(int) error {
		return get("http://" + r.directory + "/resolve?name=h.example&region=r&zone=z")
	})
}

var (
	errNoAnswer = errors.New("no answer of a server")
	errEnded    = errors.New("the process has ended")
)

func (r *rig) ordinary(id string) error {
	caller := standin.NewCaller()
	defer caller.Close()
	answer := caller.Do(context.Background(), standin.CallerRequest{
		Address: r.front, Path: "/desk/ordinary", ID: id, Body: "body", Deadline: ordinaryDeadline,
	}, nil)
	if answer.Err != nil || answer.Status != http.StatusOK || answer.Seal == "" {
		return fmt.Errorf("%w: status %d, error %v", errNoAnswer, answer.Status, answer.Err)
	}
	return nil
}

func get(url string) error {
	client := &http.Client{Timeout: ordinaryDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", errNoAnswer, answer.StatusCode)
	}
	return nil
}

// eventually tries until there is no error, and fails the test if that never happens.
func (r *rig) eventually(t *testing.T, what string, try func(n int) error) {
	t.Helper()
	err := errEnded
	for n := 0; r.lives(); n++ {
		if err = try(n); err == nil {
			return
		}
		if time.Now().After(r.giveUpAt) {
			break
		}
		time.Sleep(5 * pollInterval)
	}
	t.Errorf("%s: not once; last error: %v", what, err)
}

// check checks that the process lives and has stayed within its limits.
func (r *rig) check(t *testing.T) {
	t.Helper()
	r.measure()
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Logf("memory: %d MiB at most of %d; descriptors: %d at most of %d; log: %d bytes",
		r.peakMemory/mib, memoryMB, r.peakDescriptors, descriptorLimit, r.logBytes())
	if !r.lives() {
		t.Error("the process has ended, want it to live")
	}
	if r.peakMemory > memoryMB*mib {
		t.Errorf("the process had %d MiB of memory, want at most %d", r.peakMemory/mib, memoryMB)
	}
	if most := descriptorLimit - reservedDescriptors; r.peakDescriptors > most {
		t.Errorf("the process had %d descriptors, want at most %d of %d", r.peakDescriptors, most, descriptorLimit)
	}
}

func (r *rig) logBytes() int64 {
	info, err := os.Stat(r.logs)
	if err != nil {
		return 0
	}
	return info.Size()
}
