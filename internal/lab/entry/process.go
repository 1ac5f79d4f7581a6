package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"limpethub/internal/lab/bench"
	"limpethub/internal/operatorapi"
	"limpethub/internal/settings"
	"limpethub/internal/strictjson"
)

// Processes starts instances as processes of the daemon's binary.
type Processes struct {
	host
	binary string
}

// NewProcesses makes a host that runs the given binary.
func NewProcesses(o Options, binary string) (*Processes, error) {
	h, err := newHost(o)
	return &Processes{host: h, binary: binary}, err
}

// Process is an instance that runs as a process of its own.
type Process struct {
	Operator *operatorapi.Client

	cmd       *exec.Cmd
	addresses startedLine
	exited    chan struct{}
	exitErr   error

	mu   sync.Mutex
	logs []byte
}

var _ bench.Daemon = (*Process)(nil)

// startedLine is the log line with which a daemon tells its addresses.
type startedLine struct {
	Message   string `json:"msg"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

const startedMessage = "started"

var errNotStarted = errors.New("entry: the process ended before it had started")

// Start implements bench.Factory.
func (h *Processes) Start(ctx context.Context, o bench.DaemonOptions) (bench.Daemon, error) {
	p, err := h.StartUnconfigured(o)
	if err != nil {
		return nil, err
	}
	if err := h.applyOnce(ctx, p.Operator, o.Document); err != nil {
		p.Kill()
		return nil, err
	}
	return p, nil
}

// StartUnconfigured starts an instance and puts no configuration in force.
func (h *Processes) StartUnconfigured(o bench.DaemonOptions) (*Process, error) {
	s, err := h.settings(o)
	if err != nil {
		return nil, err
	}
	return h.launch(s)
}

func (h *Processes) launch(s settings.Settings) (*Process, error) {
	strictjson.FillLists(&s)
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("entry: encode settings: %w", err)
	}
	path, err := h.write(s.Instance+".json", string(data))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(h.binary, "--settings", filepath.Clean(path))
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	cmd.Stderr = cmd.Stdout // A crash report goes there.
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	p := &Process{cmd: cmd, exited: make(chan struct{})}
	started := make(chan startedLine, 1)
	go p.follow(output, started)
	select {
	case p.addresses = <-started:
	case <-p.exited:
		return nil, fmt.Errorf("%w: %s", errNotStarted, p.Logs())
	case <-time.After(startLimit):
		p.Kill()
		return nil, fmt.Errorf("%w within %s: %s", errNotStarted, startLimit, p.Logs())
	}
	p.Operator = operatorapi.NewClient("http://"+p.addresses.Operators, OperatorToken, http.DefaultClient)
	return p, nil
}

// follow keeps the process's log lines and waits for its end.
func (p *Process) follow(output io.Reader, started chan<- startedLine) {
	defer close(p.exited)
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		p.mu.Lock()
		p.logs = append(append(p.logs, lines.Bytes()...), '\n')
		p.mu.Unlock()
		var line startedLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == startedMessage {
			started <- line
		}
	}
	p.exitErr = p.cmd.Wait()
}

// startLimit is how long a process may take until it says that it serves, also on a
// busy machine.
const startLimit = 30 * time.Second

// maxLogLine is the longest log line read, in bytes.
const maxLogLine = 1 << 20

// Logs returns the log lines so far.
func (p *Process) Logs() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.logs)
}

// CallerAddress implements bench.Daemon.
func (p *Process) CallerAddress() string { return p.addresses.Callers }

// PeerAddress implements bench.Daemon.
func (p *Process) PeerAddress() string { return p.addresses.Peers }

// Drain implements bench.Daemon: it asks for a planned stop and waits for the end.
func (p *Process) Drain(ctx context.Context) error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	select {
	case <-p.exited:
		return p.exitErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill implements bench.Daemon.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// Pause freezes the process, as a suspended machine does; Resume lets it go on.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// OperatorAddress is host:port of the operators' listener.
func (p *Process) OperatorAddress() string { return p.addresses.Operators }
