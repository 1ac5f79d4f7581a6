package scheduling

import (
	"errors"
	"sort"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

const (
	defaultLimit = 16
)

type serverState struct {
	Server
	known       bool
	reported    bool
	unreachable bool
	leaving     bool
	limit       int
	outstanding int
	resident    map[modelref.Ref]bool
}

type waiting struct {
	request.Request
	unclear bool
	avoid   string
}

type basic struct {
	options  Options
	document *site.Document
	bases    map[modelref.Ref]modelref.Ref
	servers  map[string]*serverState
	names    []string
	queue    []waiting
	running  map[request.ID]string
}

var _ Scheduler = (*basic)(nil)

// New makes the scheduler of one instance.
func New(options Options) (Scheduler, error) {
	if options.Document == nil {
		return nil, errors.New("scheduling: options hold no document")
	}
	b := &basic{options: options, servers: map[string]*serverState{}, running: map[request.ID]string{}}
	b.SetDocument(time.Time{}, options.Document)
	return b, nil
}

func (b *basic) SetDocument(now time.Time, document *site.Document) []Decision {
	b.document = document
	b.bases = map[modelref.Ref]modelref.Ref{}
	for _, a := range document.Adapters {
		b.bases[a.Ref()] = a.Base
	}
	return b.drain(now)
}

func (b *basic) SetServers(now time.Time, servers []Server) []Decision {
	for _, s := range b.servers {
		s.known = false
	}
	for _, s := range servers {
		state := b.servers[s.Name]
		if state == nil {
			state = &serverState{limit: defaultLimit}
			b.servers[s.Name] = state
			b.names = append(b.names, s.Name)
		}
		state.Server = s
		state.known = true
	}
	sort.Strings(b.names)
	return b.drain(now)
}

func (b *basic) ObserveReport(now time.Time, server string, report engine.Report) []Decision {
	s := b.servers[server]
	if s == nil {
		return nil
	}
	s.reported = true
	s.unreachable = false
	s.leaving = report.Leaving
	if report.MaxBatch > 0 {
		s.limit = report.MaxBatch
	}
	s.resident = map[modelref.Ref]bool{}
	for _, ref := range report.Resident {
		s.resident[ref] = true
	}
	return b.drain(now)
}

func (b *basic) ObserveUnreachable(_ time.Time, server string) []Decision {
	if s := b.servers[server]; s != nil {
		s.unreachable = true
	}
	return nil
}

func (b *basic) ObserveRemote(time.Time, Remote) []Decision { return nil }

func (b *basic) ForgetRemote(string) {}

func (b *basic) Arrive(now time.Time, r request.Request) []Decision {
	return b.place(now, waiting{Request: r})
}

func (b *basic) place(now time.Time, w waiting) []Decision {
	if !now.Before(w.Deadline) {
		return []Decision{refusal(w, verdict.CodeDeadlineExpired, "the deadline has passed")}
	}
	if d, ok := b.dispatch(w); ok {
		return []Decision{d}
	}
	if b.queued(w.Class) >= b.document.Classes[w.Class].QueueLimit {
		return []Decision{refusal(w, verdict.CodeQueueFull, "the queue of the class is full")}
	}
	at := sort.Search(len(b.queue), func(i int) bool { return before(w, b.queue[i]) })
	b.queue = append(b.queue, waiting{})
	copy(b.queue[at+1:], b.queue[at:])
	b.queue[at] = w
	return []Decision{{ID: w.ID, Action: Queue, Reason: "no server has room"}}
}

func (b *basic) queued(class int) int {
	n := 0
	for i := range b.queue {
		if b.queue[i].Class == class {
			n++
		}
	}
	return n
}

func before(a, b waiting) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	return a.Deadline.Before(b.Deadline)
}

func refusal(w waiting, code verdict.Code, why string) Decision {
	err := verdict.Refused(code, "%s", why)
	err.RetryAfter = time.Second
	if w.unclear {
		err.Verdict = verdict.MayHaveRun
	}
	return Decision{ID: w.ID, Action: Refuse, Reason: why, Err: err}
}

func (b *basic) dispatch(w waiting) (Decision, bool) {
	var best *serverState
	for _, name := range b.names {
		s := b.servers[name]
		if !b.usable(s, w) || s.outstanding >= s.limit {
			continue
		}
		if best == nil || s.outstanding < best.outstanding {
			best = s
		}
	}
	if best == nil {
		return Decision{}, false
	}
	best.outstanding++
	b.running[w.ID] = best.Name
	return Decision{ID: w.ID, Action: Dispatch, Server: best.Name, Priority: w.Class, Reason: "least outstanding"}, true
}

func (b *basic) usable(s *serverState, w waiting) bool {
	if !s.known || s.Leaving || s.leaving || s.unreachable || s.Name == w.avoid {
		return false
	}
	if w.Service != "" {
		for _, name := range s.Services {
			if name == w.Service {
				return true
			}
		}
		return false
	}
	base, adapter := b.bases[w.Model]
	return s.resident[w.Model] && (!adapter || s.resident[base])
}

func (b *basic) drain(now time.Time) []Decision {
	var out []Decision
	keep := b.queue[:0]
	for _, w := range b.queue {
		if !now.Before(w.Deadline) {
			out = append(out, refusal(w, verdict.CodeCannotMeet, "the deadline can no longer be met"))
			continue
		}
		if d, ok := b.dispatch(w); ok {
			out = append(out, d)
			continue
		}
		keep = append(keep, w)
	}
	b.queue = keep
	return out
}

func (b *basic) Finish(now time.Time, o Outcome) []Decision {
	name, ok := b.running[o.ID]
	if !ok {
		return nil
	}
	delete(b.running, o.ID)
	s := b.servers[name]
	s.outstanding--
	if o.ServerLeaving {
		s.leaving = true
	}
	return b.drain(now)
}

func (b *basic) Retry(now time.Time, r request.Request, last Outcome) []Decision {
	w := waiting{Request: r, unclear: last.Verdict != verdict.NotRun, avoid: last.Server}
	if w.unclear && !r.Idempotent {
		return []Decision{refusal(w, verdict.CodeServerFailed, "the request may have run and must not repeat")}
	}
	return b.place(now, w)
}

func (b *basic) Progress(time.Time, request.ID, int) {}

func (b *basic) Cancel(_ time.Time, id request.ID) []Decision {
	for i := range b.queue {
		if b.queue[i].ID == id {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return nil
		}
	}
	return nil
}

func (b *basic) Tick(now time.Time) []Decision { return b.drain(now) }

func (b *basic) NextTick() time.Time {
	var next time.Time
	for i := range b.queue {
		if next.IsZero() || b.queue[i].Deadline.Before(next) {
			next = b.queue[i].Deadline
		}
	}
	return next
}

func (b *basic) Digest() []Remote {
	var out []Remote
	for _, name := range b.names {
		if s := b.servers[name]; s.outstanding > 0 {
			out = append(out, Remote{Instance: b.options.Instance, Server: name, Outstanding: s.outstanding})
		}
	}
	return out
}
