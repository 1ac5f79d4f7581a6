package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"limpethub/internal/daemon"
	"limpethub/internal/lab/bench"
	"limpethub/internal/operatorapi"

	_ "limpethub/internal/plugins" // The daemon's plug-ins.
)

// InProcess starts instances in the lab's own process.
type InProcess struct {
	host
	logs io.Writer
}

// NewInProcess makes a host whose instances log to logs.
func NewInProcess(o Options, logs io.Writer) (*InProcess, error) {
	h, err := newHost(o)
	return &InProcess{host: h, logs: logs}, err
}

// Instance is an instance in the lab's own process, with an operator's client to it.
type Instance struct {
	*daemon.Daemon
	Operator *operatorapi.Client
}

var _ bench.Daemon = (*Instance)(nil)

// Start implements bench.Factory.
func (h *InProcess) Start(ctx context.Context, o bench.DaemonOptions) (bench.Daemon, error) {
	s, err := h.settings(o)
	if err != nil {
		return nil, err
	}
	d, err := daemon.New(s, h.logs)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	if err := d.Start(ctx); err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	instance := &Instance{Daemon: d, Operator: operatorapi.NewClient("http://"+d.OperatorAddress(), OperatorToken, http.DefaultClient)}
	if err := h.applyOnce(ctx, instance.Operator, o.Document); err != nil {
		d.Kill()
		return nil, err
	}
	return instance, nil
}
