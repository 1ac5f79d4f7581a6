// Package lab starts the project's daemons as separate processes for the cases of the review, with the settings
// that the deploy file's template gives, before stand-ins on loopback addresses.
package lab

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"limpethub/internal/lab/faultproxy"
	"limpethub/internal/settings"
	"limpethub/internal/strictjson"
	"limpethub/platform"
	"limpethub/platform/standin"
)

// Bounds of the small site whose settings the cases use (rigline-pnw).
const (
	Drain        = 2 * time.Second
	StableWindow = 3 * time.Second
	leaseMillis  = 3000
	graceSeconds = 8
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Case is one run of a case. Its methods are safe for concurrent use.
type Case struct {
	// Trouble is false if the run leaves out the disruption.
	Trouble bool
	// Dir is a temporary folder.
	Dir    string
	daemon string

	mu     sync.Mutex
	record *os.File
	began  time.Time
	ends   []func()
	// cut holds the machines that are cut off from all others.
	cut map[string]bool
}

// Main runs a case and exits with 1 if it reports that the rule was broken, with 0 if it held, and with 2 if it
// could not run. limit is the longest time for it.
func Main(limit time.Duration, run func(ctx context.Context, c *Case) (broken bool, err error)) {
	daemon := flag.String("daemon", "target/limpethubd", "the daemon")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(*daemon, *record, limit, run))
}

func runCase(daemon, record string, limit time.Duration, run func(ctx context.Context, c *Case) (bool, error)) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, daemon: daemon, record: file, began: time.Now(), cut: map[string]bool{}}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c.Log("trouble %t", c.Trouble)
	broken, err := run(ctx, c)
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		c.Log("result: the case could not run: %v", err)
	case broken:
		c.Log("result: the rule was broken")
	default:
		c.Log("result: the rule held")
	}
	c.end()
	_ = file.Close()
	_ = os.RemoveAll(dir)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}

// Now returns the time since the begin of the case.
func (c *Case) Now() time.Duration { return time.Since(c.began) }

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// AtEnd calls f at the end of the case. What was added last ends first.
func (c *Case) AtEnd(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, f)
}

func (c *Case) end() {
	for {
		c.mu.Lock()
		if len(c.ends) == 0 {
			c.mu.Unlock()
			return
		}
		f := c.ends[len(c.ends)-1]
		c.ends = c.ends[:len(c.ends)-1]
		c.mu.Unlock()
		f()
	}
}

func (c *Case) isCut(machine string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[machine]
}

func (c *Case) setCut(machine string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[machine] = cut
}

// Sleep waits and reports whether the time has passed before the case ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// ErrTimeout is the error of a condition that has not come about.
var ErrTimeout = errors.New("lab: not in time")

// Until waits until a condition holds.
func Until(ctx context.Context, what string, timeout time.Duration, holds func() bool) error {
	for end := time.Now().Add(timeout); !holds(); {
		if time.Now().After(end) || !Sleep(ctx, 20*time.Millisecond) {
			return fmt.Errorf("%w: %s", ErrTimeout, what)
		}
	}
	return nil
}

// Ports of each machine. Each has a loopback address of its own.
const (
	frontPort     = 8149
	readyPort     = 8141
	directoryPort = 8143
	metricsPort   = 9464
	peersPort     = 7380
)

// Machine is one machine of the system, with its process, and with proxies in its links to the store and to the
// other machines.
type Machine struct {
	c           *Case
	ip, zone    string
	settings    string
	StoreLink   *faultproxy.Proxy
	peersLink   *udpLink
	mu          sync.Mutex
	process     *exec.Cmd
	ended       chan struct{}
	starts      int
	endExpected bool
}

// Machines prepares the machines of a deployment. Their processes aren't started yet.
func (c *Case) Machines(count int, store string) ([]*Machine, error) {
	subnet, err := freeSubnet(count)
	if err != nil {
		return nil, err
	}
	var out []*Machine
	var seeds []string
	for n := range count {
		m := &Machine{c: c, ip: fmt.Sprintf("%s.%d", subnet, n+1), zone: fmt.Sprintf("z%d", n%3)}
		out = append(out, m)
		if n < 3 {
			seeds = append(seeds, m.at(peersPort))
		}
	}
	for _, m := range out {
		if err := m.prepare(store, seeds); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// freeSubnet returns a loopback subnet in which nothing listens on the ports of the machines.
func freeSubnet(count int) (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 2+rand.IntN(240), 2+rand.IntN(240))
		if isFree(subnet, count) {
			return subnet, nil
		}
	}
	return "", errors.New("lab: no free loopback addresses")
}

func isFree(subnet string, count int) bool {
	for n := range count {
		for _, port := range []int{frontPort, readyPort, directoryPort, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, n+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (m *Machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// Front is the address for clients.
func (m *Machine) Front() string { return m.at(frontPort) }

// Name is the machine's name.
func (m *Machine) Name() string { return m.ip }

func (m *Machine) prepare(store string, seeds []string) error {
	var err error
	if m.StoreLink, err = faultproxy.Listen(store); err != nil {
		return err
	}
	m.c.AtEnd(m.StoreLink.Close)
	if m.peersLink, err = newUDPLink(m.at(peersPort), func(other string) bool { return m.c.isCut(m.ip) || m.c.isCut(other) }); err != nil {
		return err
	}
	m.c.AtEnd(m.peersLink.close)
	text, err := standin.Fill(platform.SettingsTemplate, map[string]any{
		"region": "pnw", "ip": m.ip, "zone": m.zone, "port_range": []any{peersPort}, "seeds": seeds,
		"listen":   map[string]any{"front": m.Front(), "ready": m.at(readyPort), "directory": m.at(directoryPort)},
		"platform": map[string]any{"address": m.StoreLink.Address()},
		"limits":   map[string]any{"memory_mb": 284, "cpu_share": 0.4, "cpu_cores": 1},
		"bounds": map[string]any{
			"budget_ratio": 0.2, "budget_slack": 56, "ttl_max_s": 5, "lease_ms": leaseMillis, "grace_s": graceSeconds,
			"drain_ms": Drain.Milliseconds(),
		},
	})
	if err != nil {
		return err
	}
	s, err := settings.Parse("settings", []byte(text))
	if err != nil {
		return fmt.Errorf("lab: settings: %w", err)
	}
	// The other machines reach this one through the proxy.
	s.Listeners.Peers.Advertise = m.peersLink.address()
	strictjson.FillLists(&s)
	data, err := marshal(s)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(m.c.Dir, m.ip+".json")
	return os.WriteFile(m.settings, data, 0o600)
}

// Start starts the machine's process with the command of the deploy file.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts++
	logs, err := os.Create(filepath.Join(m.c.Dir, fmt.Sprintf("%s-%d.log", m.ip, m.starts)))
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	defer func() { _ = logs.Close() }()
	m.process, m.ended, m.endExpected = exec.Command(m.c.daemon, "--settings", m.settings), make(chan struct{}), false
	m.process.Env = append(os.Environ(), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	m.process.Stdout, m.process.Stderr = logs, logs
	if err := m.process.Start(); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	m.c.Log("machine %s starts", m.ip)
	process, ended := m.process, m.ended
	go func() {
		err := process.Wait()
		m.mu.Lock()
		expected := m.endExpected
		m.mu.Unlock()
		if !expected {
			m.c.Log("machine %s: its process ended by itself: %v", m.ip, err)
		}
		close(ended)
	}()
	if m.starts == 1 {
		m.c.AtEnd(m.Kill)
	}
	return nil
}

// Signal sends a signal to the machine's process. ends says that the signal ends it.
func (m *Machine) Signal(s syscall.Signal, ends bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endExpected = m.endExpected || ends
	_ = m.process.Process.Signal(s)
}

// Kill kills the machine's process and waits for its end.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL, true)
	<-m.ended
}

// StartAll starts the processes of machines and waits until all say that they are ready.
func StartAll(ctx context.Context, machines []*Machine) error {
	for _, m := range machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	for _, m := range machines {
		if err := Until(ctx, m.ip+" is ready", 20*time.Second, func() bool { return standin.Ready(ctx, m.at(readyPort)) }); err != nil {
			return err
		}
		m.c.Log("machine %s is ready", m.ip)
	}
	return nil
}

// Cut cuts the machine off from the store and from all other machines. Connections hang.
func (m *Machine) Cut() error {
	m.c.Log("machine %s is cut off from the store and the other machines", m.ip)
	dropped := faultproxy.NoFaults()
	dropped.DropToServer, dropped.DropToClient = true, true
	m.StoreLink.SetFaults(dropped)
	m.c.setCut(m.ip, true)
	return m.StoreLink.Hang()
}

// Heal ends Cut.
func (m *Machine) Heal() error {
	m.StoreLink.SetFaults(faultproxy.NoFaults())
	m.c.setCut(m.ip, false)
	// What was sent on the open connections is lost, so that they end.
	m.StoreLink.ResetOpen()
	err := m.StoreLink.Accept()
	m.c.Log("machine %s: the cut has healed", m.ip)
	return err
}

// SilencePeers makes the open connections of other machines to this one go silent. New ones work.
func (m *Machine) SilencePeers() { m.peersLink.silenceOpen() }
