package soak

import (
	"net/http"
	"strings"
	"time"

	"limpethub/platform/standin"
)

// RequestKind says what a request asks for, which also decides its route.
type RequestKind uint8

// Kinds of requests. NonIdempotent and Idempotent ones go to plain servers, and Stream to a model
// engine.
const (
	NonIdempotent RequestKind = iota + 1
	Idempotent
	Stream
	// Probe asks whether a configuration is in force.
	Probe
)

// Request is one request of a caller, with its answer.
type Request struct {
	ID       string
	Kind     RequestKind
	Instance int
	// StartNumber is that of the process that got the request, 0 if none was running.
	StartNumber int
	// Version is the configuration that a Probe asks for.
	Version int
	// Resumes is the request that began the stream which this one goes on with, from the event From on.
	Resumes string
	From    int64
	// Leaves is true if the caller leaves a stream after its first events.
	Leaves bool
	// Path is the path, if it isn't one of the request's own.
	Path string
	// Part is an additional part of the prompt of a Stream; empty for none.
	Part   string
	Answer standin.Answer
	// Began and Ended count from the start of the run.
	Began, Ended time.Duration
	// Connected is false if the request got no connection.
	Connected bool
}

func (r Request) processID() processID { return processID{r.Instance, r.StartNumber} }

// Sending records that a caller is about to send a request. Probes count too, so they also raise
// the retry budget.
func (j *Judge) Sending(id string, kind RequestKind, to processID, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sentTo[id] = to
	j.nonIdempotent[id] = kind == NonIdempotent
	j.requestTimes = append(j.requestTimes, at)
}

// Ran records that a request began to run on a server, and checks the promises for it.
func (j *Judge) Ran(server, id string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runTimes[id] = append(j.runTimes[id], at)
	if n := len(j.runTimes[id]); n > 1 && j.nonIdempotent[id] {
		j.addViolation(AtMostOnce, at, "request %s began to run %d times, now on server %s", id, n, server)
	}
	if r, ok := j.refused[id]; ok {
		j.addViolation(RefusedNotRun, at, "request %s began to run on server %s after it was refused with status %d at %s", id, server, r.Answer.Status, r.Ended)
	}
	j.checkRetryBudget(id, at)
	j.checkLeaving(server, id, at)
}

// checkRetryBudget counts the arrival of a request at a server. Each arrival after the first is
// a retry; the retries within RetryWindow must stay within the budget.
func (j *Judge) checkRetryBudget(id string, at time.Duration) {
	j.arrivals[id]++
	if j.arrivals[id] == 1 {
		return
	}
	j.retryTimes = append(j.retryTimes, at)
	from := at - j.limits.RetryWindow
	j.retryTimes, j.requestTimes = dropBefore(j.retryTimes, from), dropBefore(j.requestTimes, from)
	if limit := j.limits.RetryRatio*float64(len(j.requestTimes)) + float64(j.limits.RetrySlack); float64(len(j.retryTimes)) > limit {
		j.addViolation(RetryBudget, at, "%d retries within %s, with %d requests", len(j.retryTimes), j.limits.RetryWindow, len(j.requestTimes))
	}
}

// dropBefore drops the leading times before from. The times are sorted, apart from small
// differences between concurrent calls.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	for len(times) > 0 && times[0] < from {
		times = times[1:]
	}
	return times
}

// Answered records how a request ended and checks the promises for it.
func (j *Judge) Answered(r Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r.Kind == Probe {
		j.checkProbe(r)
		return
	}
	j.checkTold(r)
	j.checkCutOff(r)
	j.checkRefusal(r)
	j.checkWhole(r)
	if !r.Leaves {
		j.checkCut(r)
	}
}

// meansNotRun reports whether a status that an instance answers by itself promises that the
// request has not run and never will.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (j *Judge) checkRefusal(r Request) {
	// Only servers set a seal, so an answer with one is not a refusal by the instance.
	if r.Kind != NonIdempotent || r.Answer.Seal != "" || !meansNotRun(r.Answer.Status) {
		return
	}
	if n := len(j.runTimes[r.ID]); n > 0 {
		j.addViolation(RefusedNotRun, r.Ended, "request %s was refused with status %d after it began to run", r.ID, r.Answer.Status)
	}
	j.refused[r.ID] = r
}

// checkWhole compares the answer to a request with what the servers send for it. An answer that
// ended with an error may be incomplete, as the caller can tell that it was cut.
func (j *Judge) checkWhole(r Request) {
	if r.Answer.Status != http.StatusOK {
		return
	}
	promise, want := WholeAnswers, standin.PlainAnswer(r.ID)
	// A plain server's answer begins with the server's id, which is not checked. The stand-in of
	// a server sets the seal "seal-" and the request's id.
	ok := strings.HasSuffix(r.Answer.Body, want) && r.Answer.Seal == "seal-"+r.ID
	if r.Kind == Stream {
		promise, want = StreamOrder, standin.StreamAnswer(r.From)
		ok = r.Answer.Body == want
	}
	if r.Answer.Err != nil {
		ok = r.Kind != Stream || strings.HasPrefix(want, r.Answer.Body)
	}
	if !ok {
		j.addViolation(promise, r.Ended, "request %s got body %q with seal %q, error %v", r.ID, r.Answer.Body, r.Answer.Seal, r.Answer.Err)
	}
}

// checkCut checks whether a planned stop cut a request. It did if the request ran or its answer
// began, it ended with an error after the stop was requested, it began before the process had
// ended, and no fault excuses the error.
func (j *Judge) checkCut(r Request) {
	s, stopRequested := j.stops[r.processID()]
	if !stopRequested || r.Answer.Err == nil || !r.Connected || r.Ended < s.requestedAt || (s.endedAt > 0 && r.Began > s.endedAt) {
		return
	}
	ran, answerBegan := len(j.runTimes[r.ID]) > 0, r.Answer.Status != 0
	if (ran || answerBegan) && j.excusedUntil(r.Ended, inScopes(onServer, onServerLinks)) <= r.Began && j.excusedUntil(r.Ended, interruptsInstance(r.Instance)) <= r.Began {
		j.addViolation(PlannedStop, r.Ended, "request %s to instance %d was cut by a planned stop (it ran: %v, status %d): %v",
			r.ID, r.Instance, ran, r.Answer.Status, r.Answer.Err)
	}
}
