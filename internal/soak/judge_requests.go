package soak

import (
	"net/http"
	"strings"
	"time"

	"limpethub/platform/standin"
)

// RequestKind is what kind of route a request takes.
type RequestKind uint8

// Kinds of requests.
const (
	Unsafe RequestKind = iota + 1
	Safe
	Stream
	// Probe asks which configuration is in force.
	Probe
)

// Request is one attempt of a caller, as it ended.
type Request struct {
	ID       string
	Kind     RequestKind
	Instance int
	// Start numbers the instance's process that was asked.
	Start int
	// Version is the configuration that a Probe asks for.
	Version int
	Answer  standin.Answer
	// Began and Ended count from the start of the load.
	Began, Ended time.Duration
	// Connected is false if the request got no connection.
	Connected bool
}

func (r Request) process() process { return process{r.Instance, r.Start} }

// Asking notes that a caller makes a request.
func (j *Judge) Asking(id string, kind RequestKind, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.unsafe[id] = kind == Unsafe
	j.asked = append(j.asked, at)
}

// Ran notes that a request began to run.
func (j *Judge) Ran(server, id string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ran[id] = append(j.ran[id], at)
	if n := len(j.ran[id]); n > 1 && j.unsafe[id] {
		j.broken(AtMostOnce, at, "request %s runs for the %d. time, on %s", id, n, server)
	}
	if r, ok := j.refused[id]; ok {
		j.broken(RefusedNotRun, at, "request %s runs on %s after status %d at %s", id, server, r.Answer.Status, r.Ended)
	}
	j.repeat(id, at)
	j.lateArrival(server, id, at)
}

// repeat checks the budget of repeats when a server gets a request again.
func (j *Judge) repeat(id string, at time.Duration) {
	j.arrivals[id]++
	if j.arrivals[id] == 1 {
		return
	}
	j.again = append(j.again, at)
	from := at - j.limits.RepeatWindow
	j.again, j.asked = since(j.again, from), since(j.asked, from)
	if most := j.limits.RepeatRatio*float64(len(j.asked)) + float64(j.limits.RepeatSlack); float64(len(j.again)) > most {
		j.broken(Repeats, at, "%d repeats in %s, %d requests", len(j.again), j.limits.RepeatWindow, len(j.asked))
	}
}

// since drops what came before a moment. The times are nearly in order.
func since(times []time.Duration, from time.Duration) []time.Duration {
	for len(times) > 0 && times[0] < from {
		times = times[1:]
	}
	return times
}

// Answered notes how a request ended.
func (j *Judge) Answered(r Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r.Kind == Probe {
		j.probed(r)
		return
	}
	j.checkRefusal(r)
	j.checkWhole(r)
	j.checkCut(r)
}

// promisesNotRun reports whether a status of an instance's own says that a request did
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (j *Judge) checkRefusal(r Request) {
	if r.Kind != Unsafe || r.Answer.Seal != "" || !promisesNotRun(r.Answer.Status) {
		return
	}
	if n := len(j.ran[r.ID]); n > 0 {
		j.broken(RefusedNotRun, r.Ended, "request %s got status %d after it ran", r.ID, r.Answer.Status)
	}
	j.refused[r.ID] = r
}

// checkWhole compares an answer with what the server made for this request. One that
// ended with an error looks cut, and may be a part.
func (j *Judge) checkWhole(r Request) {
	if r.Answer.Status != http.StatusOK {
		return
	}
	promise, whole := WholeAnswers, standin.PlainAnswer(r.ID)
	good := strings.HasSuffix(r.Answer.Body, whole) && r.Answer.Seal == "seal-"+r.ID
	if r.Kind == Stream {
		promise, whole = StreamOrder, standin.StreamAnswer(0)
		good = r.Answer.Body == whole
	}
	if r.Answer.Err != nil {
		good = r.Kind != Stream || strings.HasPrefix(whole, r.Answer.Body)
	}
	if !good {
		j.broken(promise, r.Ended, "request %s got %q with seal %q, error %v", r.ID, r.Answer.Body, r.Answer.Seal, r.Answer.Err)
	}
}

// checkCut looks for requests that a planned stop cut: they had begun before the process
// was gone, and came to nothing although nothing else went wrong.
func (j *Judge) checkCut(r Request) {
	s, stopping := j.stops[r.process()]
	if !stopping || r.Answer.Err == nil || !r.Connected || r.Ended < s.asked || (s.ended > 0 && r.Began > s.ended) {
		return
	}
	ran, began := len(j.ran[r.ID]) > 0, r.Answer.Status != 0
	if (ran || began) && j.calmSince(r.Ended, hits(onServer)) <= r.Began && j.calmSince(r.Ended, interrupts(r.Instance)) <= r.Began {
		j.broken(PlannedStop, r.Ended, "request %s of instance %d was cut (it ran: %v, status %d): %v",
			r.ID, r.Instance, ran, r.Answer.Status, r.Answer.Err)
	}
}
