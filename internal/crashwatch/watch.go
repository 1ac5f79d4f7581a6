// Package crashwatch keeps track of which requests of this instance run on which server process,
// and finds out when a process ends while requests run on it. A single broken answer doesn't show
// that: the answer may have been cut, or its connection reset.
package crashwatch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
)

const (
	// provenAfter is how long after its first event an answer counts as proof that its request
	// doesn't crash servers.
	provenAfter = 500 * time.Millisecond
	// probeRetryDelay is the time between two probes of a server that gave no sign.
	probeRetryDelay = 150 * time.Millisecond
	// maxProbes is how many probes are sent for one broken answer.
	maxProbes = 2
	// endedMemory is how long an ended process is remembered. Answers that break off later have
	// ended with it.
	endedMemory = 5 * time.Second
)

// process identifies one process of a server.
type process struct {
	name        string
	startMillis int64
}

func processOf(s engine.Server) process { return process{name: s.Name, startMillis: s.StartMillis} }

// Ended describes a server process that ended while requests of this instance ran on it.
type Ended struct {
	Server engine.Server
	// At is when the first answer broke off.
	At time.Time
	// Requests is how many requests of this instance ran on the process.
	Requests int
	// Parts are the prompt parts of those requests whose answers weren't proven, without repeats, in
	// the order of partsInTurn.
	Parts []request.Part
	// Identities are the identities of the same requests, without repeats.
	Identities []request.Identity
	// Models are the models of the same requests, without repeats.
	Models []modelref.Ref
}

// Options configures a Watch.
type Options struct {
	Prober engine.Prober
	// OnEnded is called for each process that ended, and again with all its requests if further
	// answers break off later. It must not block; nil means no call.
	OnEnded func(Ended)
	// OnProven is called for a request whose answer shows that it doesn't crash servers. It must not
	// block; nil means no call.
	OnProven func(Proven)
	Logger   *logrus.Entry
	Now      func() time.Time
}

// Proven describes a request whose answer went well.
type Proven struct {
	// Identity is zero if it is unknown.
	Identity request.Identity
	Parts    []request.Part
}

// Watch tracks requests on servers. It is safe for concurrent use.
type Watch struct {
	options Options

	mu        sync.Mutex
	processes map[process]*processRuns
	// ended counts the processes that ended while requests ran on them.
	ended uint64
}

// processRuns holds the requests of one server process.
type processRuns struct {
	server engine.Server
	// running holds the requests that run on the process, and broken those whose answers broke off.
	running map[*Run]struct{}
	broken  []*Run
	// firstBreak is when the first of broken broke off.
	firstBreak time.Time
	// verdict is closed once it is known whether the process has ended; nil while no answer has
	// broken off.
	verdict chan struct{}
	// hasEnded is true once the process is known to have ended.
	hasEnded bool
}

// New returns a Watch.
func New(options Options) *Watch {
	return &Watch{options: options, processes: map[process]*processRuns{}}
}

// EndedCount returns how many server processes ended while requests of this instance ran on them.
func (w *Watch) EndedCount() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// Run is one attempt of a request on a server.
type Run struct {
	watch    *Watch
	process  process
	identity request.Identity
	parts    []request.Part
	model    modelref.Ref
	// begunAt is when the first event arrived; zero before. proven is true once OnProven was called.
	begunAt time.Time
	proven  bool
}

// Start records that an attempt of a request begins on a server.
func (w *Watch) Start(server engine.Server, r *request.Request) *Run {
	run := &Run{watch: w, process: processOf(server), identity: r.Identity, parts: r.Parts, model: r.Model}
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.processes[run.process]
	if p == nil {
		w.forgetEnded()
		p = &processRuns{server: server, running: map[*Run]struct{}{}}
		w.processes[run.process] = p
	}
	p.running[run] = struct{}{}
	return run
}

// forgetEnded drops the processes that ended long ago. The lock is held.
func (w *Watch) forgetEnded() {
	now := w.options.Now()
	for key, p := range w.processes {
		if p.hasEnded && len(p.running) == 0 && now.Sub(p.firstBreak) > endedMemory {
			delete(w.processes, key)
		}
	}
}

// Event records that an event of the answer arrived.
func (r *Run) Event() {
	if r.proven {
		return
	}
	now := r.watch.options.Now()
	if r.begunAt.IsZero() {
		r.watch.mu.Lock()
		r.begunAt = now
		r.watch.mu.Unlock()
		return
	}
	if now.Sub(r.begunAt) >= provenAfter {
		r.prove()
	}
}

func (r *Run) prove() {
	r.watch.mu.Lock()
	r.proven = true
	r.watch.mu.Unlock()
	if r.watch.options.OnProven != nil {
		r.watch.options.OnProven(Proven{Identity: r.identity, Parts: r.parts})
	}
}

// Complete records that the whole answer arrived.
func (r *Run) Complete() {
	if !r.proven && !r.begunAt.IsZero() {
		r.prove()
	}
	r.Leave()
}

// Leave records that the attempt has ended in a way that shows nothing about the server: it was
// refused or canceled, or nothing was sent. It does nothing after Complete or Break.
func (r *Run) Leave() {
	w := r.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remove(r)
}

// remove takes a run off its process. The lock is held.
func (w *Watch) remove(r *Run) {
	p := w.processes[r.process]
	if p == nil {
		return
	}
	delete(p.running, r)
	if len(p.running) == 0 && p.verdict == nil {
		delete(w.processes, r.process)
	}
}

// Break records that the answer broke off. The returned channel is closed once it is known whether
// the server's process has ended, or that this can't be known.
func (r *Run) Break() <-chan struct{} {
	w := r.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.processes[r.process]
	if p == nil {
		known := make(chan struct{})
		close(known)
		return known
	}
	delete(p.running, r)
	p.broken = append(p.broken, r)
	switch {
	case p.verdict == nil:
		p.firstBreak, p.verdict = w.options.Now(), make(chan struct{})
		go w.findOut(p)
	case p.hasEnded:
		w.report(p)
	}
	return p.verdict
}

// findOut probes a server whose answer broke off, and records whether its process has ended.
func (w *Watch) findOut(p *processRuns) {
	liveness := w.probe(p.server)
	w.mu.Lock()
	defer w.mu.Unlock()
	// Whoever waits for the verdict decides by what is reported here.
	defer close(p.verdict)
	if liveness == engine.LivenessEnded {
		p.hasEnded = true
		w.ended++
		w.report(p)
		return
	}
	w.options.Logger.WithFields(logrus.Fields{
		"server": p.server.Name, "requests": len(p.broken), "liveness": liveness.String(),
	}).Info("Answers broke off without a sign that the server has ended")
	p.broken, p.verdict = nil, nil
	if len(p.running) == 0 {
		delete(w.processes, processOf(p.server))
	}
}

func (w *Watch) probe(server engine.Server) engine.Liveness {
	liveness := engine.LivenessUnknown
	for n := 0; n < maxProbes && liveness == engine.LivenessUnknown; n++ {
		if n > 0 {
			time.Sleep(probeRetryDelay)
		}
		liveness = w.options.Prober.Probe(context.Background(), server)
	}
	return liveness
}

// report logs and passes on what ran on a process that ended. The lock is held.
func (w *Watch) report(p *processRuns) {
	ended := Ended{Server: p.server, At: p.firstBreak, Requests: len(p.broken) + len(p.running)}
	unproven := p.unproven()
	for _, r := range unproven {
		if r.model != "" && !slices.Contains(ended.Models, r.model) {
			ended.Models = append(ended.Models, r.model)
		}
		if r.identity != 0 && !slices.Contains(ended.Identities, r.identity) {
			ended.Identities = append(ended.Identities, r.identity)
		}
	}
	ended.Parts = partsInTurn(unproven)
	w.options.Logger.WithFields(logrus.Fields{
		"server": p.server.Name, "address": p.server.Address, "requests": ended.Requests,
		"parts": texts(ended.Parts), "identities": texts(ended.Identities), "models": ended.Models,
	}).Warn("A server ended while requests ran on it")
	if w.options.OnEnded != nil {
		w.options.OnEnded(ended)
	}
}

// unproven returns the requests of a process whose answers weren't proven when the first one broke
// off.
func (p *processRuns) unproven() []*Run {
	all := slices.AppendSeq(slices.Clone(p.broken), maps.Keys(p.running))
	return slices.DeleteFunc(all, func(r *Run) bool {
		return r.proven || !r.begunAt.IsZero() && p.firstBreak.Sub(r.begunAt) >= provenAfter
	})
}

// partsInTurn returns the parts of requests without repeats: first the last one of each request,
// then the one before it, and so on. Whoever can only use a few of them has some of each request.
func partsInTurn(runs []*Run) []request.Part {
	var out []request.Part
	for depth, more := 1, true; more; depth++ {
		more = false
		for _, r := range runs {
			if depth > len(r.parts) {
				continue
			}
			more = true
			if part := r.parts[len(r.parts)-depth]; !slices.Contains(out, part) {
				out = append(out, part)
			}
		}
	}
	return out
}

func texts[T fmt.Stringer](hashes []T) []string {
	out := make([]string, len(hashes))
	for i, h := range hashes {
		out[i] = h.String()
	}
	return out
}
