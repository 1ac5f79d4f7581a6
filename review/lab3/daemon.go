package lab3

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

const (
	daemonProgram  = "target/limpethubd"
	daemonTemplate = "platform/limpethubd.json.tmpl"
)

// Ports are the ports that all machines use.
type Ports struct{ Front, Ready, Directory, Control, Peers int }

// metricsPort is the port of metrics in the deploy file.
const metricsPort = 9464

// FreeAddresses returns addresses of the loopback range on which the port of metrics is free.
func FreeAddresses(count int) ([]string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), rand.IntN(250))
		var addresses []string
		for i := range count {
			addresses = append(addresses, fmt.Sprintf("%s.%d", network, 11+i))
		}
		if freeOnAll(addresses, metricsPort) {
			return addresses, nil
		}
	}
	return nil, errors.New("no free addresses")
}

// FreePorts finds ports that are free on the given addresses.
func FreePorts(addresses []string) (Ports, error) {
	var found []int
	for try := 0; try < 200 && len(found) < 5; try++ {
		probe, err := net.Listen("tcp", addresses[0]+":0")
		if err != nil {
			return Ports{}, err
		}
		port := probe.Addr().(*net.TCPAddr).Port
		_ = probe.Close()
		if freeOnAll(addresses, port) {
			found = append(found, port)
		}
	}
	if len(found) < 5 {
		return Ports{}, errors.New("no free ports")
	}
	return Ports{Front: found[0], Ready: found[1], Directory: found[2], Control: found[3], Peers: found[4]}, nil
}

func freeOnAll(addresses []string, port int) bool {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
		packets, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", address, port))
		if err != nil {
			return false
		}
		_ = packets.Close()
	}
	return true
}

// Daemon is one process under test.
type Daemon struct {
	IP, Zone string
	Ports    Ports
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// Site is what the settings of all daemons have in common.
type Site struct {
	StoreAddress string
	Seeds        []string
	Ports        Ports
	Folder       string
}

// Start starts a daemon with the run command of the deploy file. Its settings are the template of the deploy file, filled in
// with the bounds of the small site.
func (s Site) Start(ip, zone string) (*Daemon, error) {
	d := &Daemon{IP: ip, Zone: zone, Ports: s.Ports}
	text, err := s.fillIn(ip, zone)
	if err != nil {
		return nil, err
	}
	d.settings = filepath.Join(s.Folder, ip+".json")
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return d, d.start(s.Folder)
}

func (d *Daemon) start(folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, d.IP+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	d.command = exec.Command(daemonProgram, "--settings", d.settings)
	d.command.Stdout, d.command.Stderr = log, log
	d.command.Env = append(os.Environ(), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(d.command, d.ended)
	return nil
}

// Signal sends the process a signal.
func (d *Daemon) Signal(signal syscall.Signal) { _ = d.command.Process.Signal(signal) }

// Kill ends the process and waits for its end.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	<-d.ended
}

// Ended reports whether the process has ended.
func (d *Daemon) Ended() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// StartAgain starts the process again with its settings.
func (d *Daemon) StartAgain(folder string) error { return d.start(folder) }

// Front is the address for callers.
func (d *Daemon) Front() string { return fmt.Sprintf("%s:%d", d.IP, d.Ports.Front) }

// IsReady asks the process whether it is ready.
func (d *Daemon) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", d.IP, d.Ports.Ready))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// fields are the settings of SYSTEM.md and DEPLOY.md for tichy-vers, as far as the template uses them.
func (s Site) fields(ip, zone string) map[string]any {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	return map[string]any{
		"region": "bratislava", "ip": ip, "zone": zone,
		"port_range":                     []any{s.Ports.Peers, s.Ports.Peers},
		"port_range.0":                   s.Ports.Peers,
		"listen.front":                   at(s.Ports.Front),
		"listen.ready":                   at(s.Ports.Ready),
		"listen.directory":               at(s.Ports.Directory),
		"platform.address":               s.StoreAddress,
		"seeds":                          s.Seeds,
		"limits.memory_mb":               284,
		"limits.max_fds":                 4100,
		"limits.cpu_share":               0.4,
		"limits.cpu_cores":               1,
		"bounds.budget_ratio":            0.2,
		"bounds.budget_slack":            58,
		"bounds.ttl_max_s":               5,
		"bounds.config_apply_ms":         2000,
		"bounds.lease_ms":                3000,
		"bounds.grace_s":                 8,
		"bounds.drain_ms":                2000,
		"bounds.stable_window_ms":        3000,
		"bounds.strict_revoke":           nil,
		"bounds.quota_window_s":          nil,
		"bounds.require_fencing":         nil,
		"bounds.freeze_slack_ms":         300,
		"bounds.reuse_after_s":           2,
		"bounds.quota_over":              nil,
		"bounds.quota_slack":             nil,
		"bounds.revoke_ms":               nil,
		"bounds.ceiling_window_s":        5,
		"bounds.rollback_slack_ms":       250,
		"bounds.loss_slack_ms":           200,
		"bounds.max_stretch_ms":          5000,
		"bounds.recover_s":               12,
		"bounds.pass_ms":                 120,
		"bounds.again_s":                 0,
		"bounds.seed_lag_s":              3,
		"bounds.ack_ms":                  4000,
		"bounds.catch_up_s":              4,
		"bounds.budget_window_s":         10,
		"bounds.fault_tolerance.regions": 0,
	}
}

var (
	sectionPattern = regexp.MustCompile(`\{\{#([a-z0-9_.]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)
)

// fillIn fills in the template of the deploy file, as DEPLOY.md describes it.
func (s Site) fillIn(ip, zone string) (string, error) {
	data, err := os.ReadFile(daemonTemplate)
	if err != nil {
		return "", err
	}
	text, fields := string(data), s.fields(ip, zone)
	for {
		at := sectionPattern.FindStringSubmatchIndex(text)
		if at == nil {
			break
		}
		name := text[at[2]:at[3]]
		end := "{{/" + name + "}}"
		length := strings.Index(text[at[1]:], end)
		if length < 0 {
			return "", fmt.Errorf("section %s of the template has no end", name)
		}
		inner := text[at[1] : at[1]+length]
		if fields[name] == nil {
			inner = ""
		}
		text = text[:at[0]] + inner + text[at[1]+length+len(end):]
	}
	var unknown []string
	text = valuePattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		value, ok := fields[parts[1]]
		if !ok {
			unknown = append(unknown, parts[1])
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		out, err := json.Marshal(value)
		if err != nil {
			unknown = append(unknown, parts[1])
		}
		return string(out)
	})
	if len(unknown) > 0 {
		return "", fmt.Errorf("the template has unknown fields: %v", unknown)
	}
	return text, nil
}
