package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"limpethub/internal/logging"
	"limpethub/internal/pause"
)

// Drain stops the instance gracefully: it tells callers to use other instances, waits until
// no caller uses an earlier list of instances any more, finishes the requests in progress
// and stops. With a front, it releases the placement lease at its start, so that another
// instance can take over while this one finishes its requests; without a front, the lease is
// released when the loops stop. Drain may be called more than once: only the first call's ctx
// counts, and all calls return when the drain has ended. The error reports requests that were
// cut off because ctx was done or the drain timeout expired.
func (d *Daemon) Drain(ctx context.Context) error {
	d.drainOnce.Do(func() {
		defer close(d.drained)
		d.drainErr = d.drain(ctx)
	})
	<-d.drained
	return d.drainErr
}

// Drained returns a channel that is closed when a drain has ended.
func (d *Daemon) Drained() <-chan struct{} { return d.drained }

func (d *Daemon) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout())
	defer cancel()
	log := d.log(logging.Daemon)
	log.Info("drain started")
	deadline, _ := ctx.Deadline()
	d.tellCallersToLeave(deadline.Add(-endRequestsLead))
	defer d.scheduleFinalAnswers(ctx)()
	leaveErr := d.cluster.Leave(ctx)
	pause.For(ctx, d.settings.EntriesTTL())
	finishErr := d.finishRequests(ctx)
	stopErr := d.Stop(context.WithoutCancel(ctx))
	err := errors.Join(leaveErr, finishErr, stopErr)
	log.WithField("error", errorText(err)).Info("drain ended")
	return err
}

// tellCallersToLeave tells callers to use other instances. With a front, it also says that the
// requests in progress are ended at requestsEnd, shortly before the drain timeout, and it
// releases the placement lease.
func (d *Daemon) tellCallersToLeave(requestsEnd time.Time) {
	if d.hosted != nil {
		d.hosted.front.StartDrain(requestsEnd)
		d.hosted.manager.Release()
		d.exchange.TriggerSend()
		return
	}
	d.gateway.StartDrain()
}

const (
	// refuseWaitingLead is how long before the drain timeout expires the waiting requests
	// are refused, and none is queued any more.
	refuseWaitingLead = 1500 * time.Millisecond
	// endRequestsLead is how long before the drain timeout expires the requests in progress
	// are ended, so that each of them still gets an answer.
	endRequestsLead = 400 * time.Millisecond
)

// scheduleFinalAnswers schedules, on an instance with a front, the refusal of waiting requests
// and the end of those in progress before ctx's deadline, so that each gets an answer. cancel
// stops the timers.
func (d *Daemon) scheduleFinalAnswers(ctx context.Context) (cancel func()) {
	deadline, ok := ctx.Deadline()
	if d.hosted == nil || !ok {
		return func() {}
	}
	refuseTimer := time.AfterFunc(time.Until(deadline)-refuseWaitingLead, d.dispatcher.RefuseWaiting)
	endTimer := time.AfterFunc(time.Until(deadline)-endRequestsLead, func() {
		d.log(logging.Daemon).WithField("requests", d.hosted.front.RequestsInProgress()).Warn("The drain timeout is about to expire; requests in progress are ended now")
		d.hosted.front.CancelRequests()
	})
	return func() {
		refuseTimer.Stop()
		endTimer.Stop()
	}
}

// finishRequests accepts no new connections and waits for the requests in progress.
func (d *Daemon) finishRequests(ctx context.Context) error {
	if d.hosted == nil {
		return d.finishGatewayRequests(ctx)
	}
	if err := d.hosted.front.Shutdown(ctx); err != nil {
		return fmt.Errorf("daemon: drain ended with %d requests still in progress: %w", d.hosted.front.RequestsInProgress(), err)
	}
	return nil
}

// finishGatewayRequests shuts down the callers' listener and waits until the gateway has no
// open requests. If both fail, it returns only the gateway's error, with the number of requests.
func (d *Daemon) finishGatewayRequests(ctx context.Context) error {
	shutdownErr := d.callerListener.shutdown(ctx)
	idleErr := d.gateway.WaitIdle(ctx)
	if idleErr != nil {
		return fmt.Errorf("daemon: drain ended with %d requests still in progress: %w", d.gateway.RequestsInProgress(), idleErr)
	}
	return shutdownErr
}

// Stop ends the daemon at once, without a drain.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stopLoops()
	err := d.lifecycle.Stop(ctx)
	d.backgroundLoops.Wait()
	d.dispatcher.Close()
	return err
}

// Kill ends the daemon as a crash of its process would: connections break and no lease is
// released. It closes the store first, so that the release of a lease fails.
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
