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

// Ports of an instance; each has an IP number of its own on the loopback.
const (
	callersPort   = 8149
	readyPort     = 8141
	directoryPort = 8143
	peersPort     = 7720
)

const (
	// stopLimit is after how long a process that was asked to stop is killed.
	stopLimit = 25 * time.Second
	// graceSeconds bounds a planned stop in the settings.
	graceSeconds = 4
)

var errNotReady = errors.New("soak: an instance isn't ready in time")

// instance is a daemon, with its processes one after the other and its proxies.
type instance struct {
	number        int
	ip            string
	binary, dir   string
	settings      string
	storeLink     *faultproxy.Proxy
	peersLink     *faultproxy.UDPProxy
	onStart       func(start int)
	onUnexpected  func(start int, err error)
	callers, area string

	mu      sync.Mutex
	starts  int
	current *running
}

// running is one process of an instance.
type running struct {
	start int
	cmd   *exec.Cmd
	gone  chan struct{}
	// expected is true once the soak itself ends the process. The instance's lock guards it.
	expected bool
}

// prepare opens the proxies and writes the settings, as the platform's template gives
// them but for the addresses of proxies.
func (i *instance) prepare(store string, seeds []string) error {
	var err error
	if i.storeLink, err = faultproxy.Listen(store); err != nil {
		return err
	}
	if i.peersLink, err = faultproxy.ListenUDP(i.at(peersPort)); err != nil {
		return err
	}
	text, err := standin.Fill(platform.SettingsTemplate, map[string]any{
		"region": "soak", "ip": i.ip, "zone": i.area, "port_range": []any{peersPort}, "seeds": seeds,
		"listen":   map[string]any{"front": i.at(callersPort), "ready": i.at(readyPort), "directory": i.at(directoryPort)},
		"platform": map[string]any{"address": i.storeLink.Address()},
		"limits":   map[string]any{"memory_mb": 256, "cpu_share": 1, "cpu_cores": 1},
		"bounds": map[string]any{
			"budget_ratio": repeatRatio, "budget_slack": repeatSlack, "ttl_max_s": 5, "lease_ms": 3000, "grace_s": graceSeconds,
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
	strictjson.FillLists(&s)
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("soak: encode settings: %w", err)
	}
	i.callers, i.settings = i.at(callersPort), filepath.Join(i.dir, fmt.Sprintf("instance-%d.json", i.number))
	return os.WriteFile(i.settings, data, 0o600)
}

func (i *instance) at(port int) string { return fmt.Sprintf("%s:%d", i.ip, port) }

// start starts a process unless one runs.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.current != nil {
		return nil
	}
	i.starts++
	logs, err := os.Create(filepath.Join(i.dir, fmt.Sprintf("instance-%d-start-%d.log", i.number, i.starts)))
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	defer func() { _ = logs.Close() }() // The process has a copy.
	r := &running{start: i.starts, cmd: exec.Command(i.binary, "--settings", i.settings), gone: make(chan struct{})}
	r.cmd.Stdout, r.cmd.Stderr = logs, logs
	if err := r.cmd.Start(); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	i.current = r
	i.onStart(r.start)
	go i.follow(r)
	return nil
}

// follow waits for a process's end.
func (i *instance) follow(r *running) {
	err := r.cmd.Wait()
	i.mu.Lock()
	expected := r.expected
	i.current = nil
	i.mu.Unlock()
	close(r.gone)
	if !expected {
		i.onUnexpected(r.start, err)
	}
}

// process returns the number of the process that runs, 0 if none does.
func (i *instance) process() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.current == nil {
		return 0
	}
	return i.current.start
}

// signal sends a signal to the process that runs, and returns that process, nil if none
// does. Only processes that this run started get signals.
func (i *instance) signal(s syscall.Signal, ends bool) *running {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.current == nil {
		return nil
	}
	i.current.expected = i.current.expected || ends
	// A process that ended just now is seen by follow.
	_ = i.current.cmd.Process.Signal(s)
	return i.current
}

// kill ends the process that runs and waits for its end.
func (i *instance) kill() {
	if r := i.signal(syscall.SIGKILL, true); r != nil {
		<-r.gone
	}
}

// waitReady waits until the instance takes callers.
func (i *instance) waitReady(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for !standin.Ready(ctx, i.at(readyPort)) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: instance %d", errNotReady, i.number)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// close ends everything.
func (i *instance) close() {
	i.kill()
	if i.storeLink != nil {
		i.storeLink.Close()
	}
	if i.peersLink != nil {
		i.peersLink.Close()
	}
}
