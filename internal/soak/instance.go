package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
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

// Ports of each instance. They are the same for all, as each instance has its own loopback
// address.
const (
	callersPort   = 8149 // Requests of callers.
	readyPort     = 8141 // Readiness checks.
	directoryPort = 8143 // Queries which instances to use.
	peersPort     = 7720 // Datagrams of other instances.
)

const (
	// killAfter is the time after which a process that was asked to stop is killed. The judge
	// reports a stop as too long earlier, after Limits.MaxStopTime.
	killAfter = 25 * time.Second
	// graceSeconds is the setting grace_s, the drain timeout of an instance.
	graceSeconds = 4
)

var errNotReady = errors.New("soak: not ready before the timeout")

// instance is one daemon: its proxies and its processes, of which at most one runs at a time.
type instance struct {
	number       int
	ip           string
	binary, dir  string
	settingsPath string
	storeLink    *faultproxy.Proxy
	peersLink    *faultproxy.UDPProxy
	// serverLinks are the proxies to the servers, in the order of the site's servers, and storeView is the store with
	// their addresses.
	serverLinks                   []*faultproxy.Proxy
	storeView                     *standin.View
	onStart                       func(startNumber int)
	onUnexpectedEnd               func(startNumber int, err error)
	callersAddress, failureDomain string

	mu         sync.Mutex
	startCount int
	current    *daemonProcess
}

type daemonProcess struct {
	// startNumber is 1 for the first process of the instance, 2 for the next.
	startNumber int
	cmd         *exec.Cmd
	ended       chan struct{}
	// endExpected is true once the soak itself ends the process. The instance's mu guards it.
	endExpected bool
}

// prepare opens the proxies and writes the instance's settings file. The settings come from
// the platform's template, with the addresses of the proxies in place of the real ones.
// peerSeeds are the addresses of all instances for peers.
func (i *instance) prepare(storeAddress string, peerSeeds []string) error {
	var err error
	if i.storeLink, err = faultproxy.Listen(storeAddress); err != nil {
		return err
	}
	if i.peersLink, err = faultproxy.ListenUDP(i.addressAt(peersPort)); err != nil {
		return err
	}
	// The template uses only the first element of port_range.
	text, err := standin.Fill(platform.SettingsTemplate, map[string]any{
		"region": "soak", "ip": i.ip, "zone": i.failureDomain, "port_range": []any{peersPort}, "seeds": peerSeeds,
		"listen":   map[string]any{"front": i.addressAt(callersPort), "ready": i.addressAt(readyPort), "directory": i.addressAt(directoryPort)},
		"platform": map[string]any{"address": i.storeLink.Address()},
		"limits":   map[string]any{"memory_mb": 256, "cpu_share": 1, "cpu_cores": 1},
		"bounds": map[string]any{
			"budget_ratio": retryRatio, "budget_slack": retrySlack, "ttl_max_s": 5, "lease_ms": 3000, "grace_s": graceSeconds,
		},
	})
	if err != nil {
		return err
	}
	s, err := settings.Parse("settings", []byte(text))
	if err != nil {
		return fmt.Errorf("soak: settings: %w", err)
	}
	s.Listeners.Peers.Advertise = i.peersLink.Address()
	strictjson.FillLists(&s) // Empty lists are written as [] instead of null.
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("soak: encode settings: %w", err)
	}
	i.callersAddress, i.settingsPath = i.addressAt(callersPort), filepath.Join(i.dir, fmt.Sprintf("instance-%d.json", i.number))
	return os.WriteFile(i.settingsPath, data, 0o600)
}

func (i *instance) addressAt(port int) string { return fmt.Sprintf("%s:%d", i.ip, port) }

// start starts a process unless one is running.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.current != nil {
		return nil
	}
	i.startCount++
	logs, err := os.Create(filepath.Join(i.dir, fmt.Sprintf("instance-%d-start-%d.log", i.number, i.startCount)))
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	defer func() { _ = logs.Close() }() // The child process has its own descriptor.
	p := &daemonProcess{startNumber: i.startCount, cmd: exec.Command(i.binary, "--settings", i.settingsPath), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = logs, logs
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	i.current = p
	i.onStart(p.startNumber)
	go i.waitForExit(p)
	return nil
}

// waitForExit waits until a process has exited, and reports an exit that was not expected.
func (i *instance) waitForExit(p *daemonProcess) {
	err := p.cmd.Wait()
	i.mu.Lock()
	endExpected := p.endExpected
	i.current = nil
	i.mu.Unlock()
	close(p.ended)
	if !endExpected {
		i.onUnexpectedEnd(p.startNumber, err)
	}
}

// currentStart returns the start number of the running process, or 0 if none is running.
func (i *instance) currentStart() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.current == nil {
		return 0
	}
	return i.current.startNumber
}

// signal sends a signal to the running process and returns that process, or nil if none is
// running. It signals only child processes of the soak. expectEnd says that the signal is
// meant to end the process.
func (i *instance) signal(s syscall.Signal, expectEnd bool) *daemonProcess {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.current == nil {
		return nil
	}
	i.current.endExpected = i.current.endExpected || expectEnd
	// The error is ignored: waitForExit handles a process that has already exited.
	_ = i.current.cmd.Process.Signal(s)
	return i.current
}

// kill kills the running process and waits until it has exited.
func (i *instance) kill() {
	if p := i.signal(syscall.SIGKILL, true); p != nil {
		<-p.ended
	}
}

// waitReady waits until the instance reports that it is ready. It returns errNotReady if
// that doesn't happen before the timeout or the end of ctx.
func (i *instance) waitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !standin.Ready(ctx, i.addressAt(readyPort)) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: instance %d", errNotReady, i.number)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// close kills the running process and closes the proxies.
func (i *instance) close() {
	i.kill()
	if i.storeLink != nil {
		i.storeLink.Close()
	}
	if i.peersLink != nil {
		i.peersLink.Close()
	}
	i.closeServerLinks()
}
