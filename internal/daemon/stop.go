package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"limpethub/internal/logging"
	"limpethub/internal/pause"
)

// Drain makes the planned stop: it leaves the answers to callers, waits out the time
// that callers may keep an answer, finishes every request in progress, hands over its
// leases and stops. It may be called more than once; all calls return when it is done.
// Work that the drain timeout cuts off is reported in the error.
func (d *Daemon) Drain(ctx context.Context) error {
	d.drainOnce.Do(func() {
		defer close(d.drained)
		d.drainErr = d.drain(ctx)
	})
	<-d.drained
	return d.drainErr
}

// Drained is closed when a planned stop is done.
func (d *Daemon) Drained() <-chan struct{} { return d.drained }

func (d *Daemon) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout())
	defer cancel()
	log := d.log(logging.Daemon)
	log.Info("drain started")
	end, _ := ctx.Deadline()
	d.leave(end.Add(-lastAnswer))
	defer d.boundWork(ctx)()
	leaveErr := d.cluster.Leave(ctx)
	pause.For(ctx, d.settings.EntriesTTL())
	idleErr := d.finish(ctx)
	stopErr := d.Stop(context.WithoutCancel(ctx))
	err := errors.Join(leaveErr, idleErr, stopErr)
	log.WithField("error", errorText(err)).Info("drain ended")
	return err
}

// leave tells callers to use other instances.
func (d *Daemon) leave(end time.Time) {
	if d.hosted != nil {
		d.hosted.front.Leave(end)
		d.hosted.manager.Resign()
		d.exchange.Hurry()
		return
	}
	d.gateway.Leave()
}

const (
	// lastCall is how long before the bound of a planned stop nothing waits any more.
	lastCall = 1500 * time.Millisecond
	// lastAnswer is how long before it requests that still run are ended, so that each
	// gets an answer.
	lastAnswer = 400 * time.Millisecond
)

// boundWork makes each request get its final answer before the bound of a planned stop.
func (d *Daemon) boundWork(ctx context.Context) (cancel func()) {
	deadline, ok := ctx.Deadline()
	if d.hosted == nil || !ok {
		return func() {}
	}
	call := time.AfterFunc(time.Until(deadline)-lastCall, d.dispatcher.RefuseWaiting)
	cut := time.AfterFunc(time.Until(deadline)-lastAnswer, func() {
		d.log(logging.Daemon).WithField("requests", d.hosted.front.Open()).Warn("drain timeout ends what is in progress")
		d.hosted.front.Cut()
	})
	return func() {
		call.Stop()
		cut.Stop()
	}
}

// finish serves what is in progress to its end.
func (d *Daemon) finish(ctx context.Context) error {
	if d.hosted == nil {
		return d.finishRequests(ctx)
	}
	if err := d.hosted.front.Shutdown(ctx); err != nil {
		return fmt.Errorf("daemon: drain timeout cut off %d requests: %w", d.hosted.front.Open(), err)
	}
	return nil
}

// finishRequests closes the callers' listener and waits for the requests in progress.
func (d *Daemon) finishRequests(ctx context.Context) error {
	shutdownErr := d.callers.shutdown(ctx)
	idleErr := d.gateway.WaitIdle(ctx)
	if idleErr != nil {
		return fmt.Errorf("daemon: drain timeout cut off %d requests: %w", d.gateway.Open(), idleErr)
	}
	return shutdownErr
}

// Stop ends the daemon at once; a planned stop is Drain.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stop()
	err := d.lifecycle.Stop(ctx)
	d.running.Wait()
	d.dispatcher.Close()
	return err
}

// Kill ends the daemon as a process that dies: connections break, and nothing is
// handed over.
func (d *Daemon) Kill() {
	d.plugins.store.Close()
	d.closeListeners()
	_ = d.Stop(context.Background())
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
