package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Provisioner is a part that prepares itself before use. Provision must not start
// goroutines or open listeners: parts provisioned before a failure are not stopped.
type Provisioner interface {
	Provision(ctx context.Context) error
}

// Validator is a part that checks its settings, after Provision.
type Validator interface {
	Validate() error
}

// Starter is a part that starts background work.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer is a part that can stop taking new work and finish the work in progress. The daemon
// doesn't call Lifecycle.Drain; an instance is drained by daemon.Daemon.Drain.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Stopper is a part that releases its resources.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Part is a plug-in, or another component of the daemon, that a Lifecycle starts and stops.
// Plugin holds the value in both cases, which may implement any of the interfaces above.
type Part struct {
	Name   string
	Plugin any
}

// Lifecycle starts parts in order and stops them in reverse order. Its methods may be
// called concurrently, because the daemon may be told to stop immediately during a drain.
type Lifecycle struct {
	parts []Part

	mu           sync.Mutex
	startedCount int
}

// Add appends a part. Parts are started in the order in which they were added.
func (l *Lifecycle) Add(name string, part any) {
	l.parts = append(l.parts, Part{Name: name, Plugin: part})
}

// Start provisions all parts, validates all parts and then starts them. If one fails to
// start, those already started are stopped.
func (l *Lifecycle) Start(ctx context.Context) error {
	if err := l.provisionAndValidate(ctx); err != nil {
		return err
	}
	for _, part := range l.parts {
		starter, ok := part.Plugin.(Starter)
		if ok {
			if err := starter.Start(ctx); err != nil {
				return errors.Join(fmt.Errorf("kernel: start %s: %w", part.Name, err), l.Stop(ctx))
			}
		}
		l.setStartedCount(l.countStarted() + 1)
	}
	return nil
}

func (l *Lifecycle) countStarted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startedCount
}

func (l *Lifecycle) setStartedCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startedCount = n
}

func (l *Lifecycle) provisionAndValidate(ctx context.Context) error {
	for _, part := range l.parts {
		if p, ok := part.Plugin.(Provisioner); ok {
			if err := p.Provision(ctx); err != nil {
				return fmt.Errorf("kernel: provision %s: %w", part.Name, err)
			}
		}
	}
	for _, part := range l.parts {
		if v, ok := part.Plugin.(Validator); ok {
			if err := v.Validate(); err != nil {
				return fmt.Errorf("kernel: validate %s: %w", part.Name, err)
			}
		}
	}
	return nil
}

// Drain drains the started parts in reverse order. It goes on after an error.
func (l *Lifecycle) Drain(ctx context.Context) error {
	var errs []error
	for i := l.countStarted() - 1; i >= 0; i-- {
		part := l.parts[i]
		if d, ok := part.Plugin.(Drainer); ok {
			if err := d.Drain(ctx); err != nil {
				errs = append(errs, fmt.Errorf("kernel: drain %s: %w", part.Name, err))
			}
		}
	}
	return errors.Join(errs...)
}

// Stop stops the started parts in reverse order, each once even if Stop is called
// concurrently. It goes on after an error.
func (l *Lifecycle) Stop(ctx context.Context) error {
	var errs []error
	for {
		part, ok := l.takeLastStarted()
		if !ok {
			return errors.Join(errs...)
		}
		if s, ok := part.Plugin.(Stopper); ok {
			if err := s.Stop(ctx); err != nil {
				errs = append(errs, fmt.Errorf("kernel: stop %s: %w", part.Name, err))
			}
		}
	}
}

// takeLastStarted removes the part that was started last from the started ones and returns
// it, so that each part is stopped once.
func (l *Lifecycle) takeLastStarted() (Part, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startedCount == 0 {
		return Part{}, false
	}
	l.startedCount--
	return l.parts[l.startedCount], true
}
