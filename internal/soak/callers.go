package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"limpethub/platform/standin"
)

const (
	// thinkTime is the mean time from the end of a caller's request to its next one.
	thinkTime    = 40 * time.Millisecond
	callDeadline = 3 * time.Second
	// roundPause is the pause between rounds of probes, and between the rounds of checkRecovery.
	roundPause = 250 * time.Millisecond
	// crashingShare is the fraction of streams whose prompts have the part that crashes servers, while
	// there is one.
	crashingShare = 0.2
	// repeatShare is the fraction of requests that are the one that crashes servers, while there is one
	// for their route.
	repeatShare = 0.3
	// leavingShare is the fraction of streams that their callers leave after leaveAfter, to go on with them
	// elsewhere. A stream that breaks off is taken up too, each up to maxTakeUps times.
	leavingShare = 0.2
	leaveAfter   = 3 * streamEventInterval
	maxTakeUps   = 2
	// adapterShare is the fraction of a caller's streams that ask for an adapter.
	adapterShare = 0.2
)

// tally counts requests, and their answers by status. Answers with an error count as "cut or none".
type tally struct {
	mu       sync.Mutex
	Requests int            `json:"requests"`
	Answers  map[string]int `json:"answers"`
}

func (t *tally) add(a standin.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Requests++
	key := fmt.Sprint(a.Status)
	if a.Err != nil {
		key = "cut or none"
	}
	t.Answers[key]++
}

// runCallers runs callers, and a prober for each instance, until ctx ends. A caller keeps its
// connection to an instance open between requests for as long as the instance does.
func (s *site) runCallers(ctx context.Context, seed uint64, callers int, t *tally) {
	var wg sync.WaitGroup
	for n := range callers {
		// The values from 100 on give other random sequences than that of the schedule.
		wg.Go(func() { s.runCaller(ctx, rand.New(rand.NewPCG(seed, uint64(100+n))), fmt.Sprintf("c%d", n), t) })
	}
	for _, i := range s.instances {
		wg.Go(func() { s.runProbes(ctx, i) })
	}
	wg.Wait()
}

// runCaller sends random requests to random instances until ctx ends. The judge doesn't get
// the last request, as the end of ctx may have cut it.
func (s *site) runCaller(ctx context.Context, random *rand.Rand, name string, t *tally) {
	caller := standin.NewCaller()
	defer caller.Close()
	for n := 0; ctx.Err() == nil; n++ {
		i := s.instances[random.IntN(len(s.instances))]
		kind := []RequestKind{NonIdempotent, NonIdempotent, Idempotent, Stream, Stream}[random.IntN(5)]
		model := s.models[random.IntN(len(s.models))]
		if random.Float64() < adapterShare {
			model += "/a1"
		}
		request := Request{ID: fmt.Sprintf("%s-%d", name, n), Kind: kind}
		if part := s.crashingPart.Load(); part != nil && kind == Stream && random.Float64() < crashingShare {
			request.Part = *part
		}
		if path := s.crashingPath.Load(); path != nil && strings.HasPrefix(*path, routePrefix(kind)) && random.Float64() < repeatShare {
			request.Path = *path
		}
		request.Leaves = kind == Stream && random.Float64() < leavingShare
		r := s.sendAndJudge(ctx, caller, i, request, model, t)
		if kind == Stream {
			s.takeUp(ctx, random, caller, r, model, t)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(thinkTime)))
	}
}

// sendAndJudge sends a request and passes its answer to the judge.
func (s *site) sendAndJudge(ctx context.Context, caller *standin.Caller, i *instance, request Request, model string, t *tally) Request {
	r := s.sendRequest(ctx, caller, i, request, model)
	t.add(r.Answer)
	if ctx.Err() == nil {
		s.judge.Answered(r)
	}
	return r
}

// takeUp goes on with a stream that broke off, or that its caller has left, at other instances.
func (s *site) takeUp(ctx context.Context, random *rand.Rand, caller *standin.Caller, begun Request, model string, t *tally) {
	tries := []Request{begun}
	next := begun.eventCount()
	for last := begun; len(tries) <= maxTakeUps && next > 0 && last.Answer.Err != nil && ctx.Err() == nil; {
		i := s.instances[random.IntN(len(s.instances))]
		last = s.sendAndJudge(ctx, caller, i, Request{
			ID: fmt.Sprintf("%s-again%d", begun.ID, len(tries)), Kind: Stream, Part: begun.Part, Resumes: begun.ID, From: next,
		}, model, t)
		tries = append(tries, last)
		if last.Answer.Status != http.StatusOK {
			// The refused try brought no event, and the next one may come to another instance.
			last.Answer.Err = errRefused
			continue
		}
		next += last.eventCount()
	}
	if ctx.Err() == nil {
		s.judge.StreamEnded(tries)
	}
}

// errRefused stands for the answer of an instance that refused to go on with a stream.
var errRefused = errors.New("soak: refused")

// routePrefix returns the prefix of the paths of a kind of request.
func routePrefix(kind RequestKind) string {
	switch kind {
	case NonIdempotent:
		return standin.UnsafePath
	case Idempotent:
		return standin.SafePath
	}
	return standin.StreamPath
}

// bodyOf returns the body of requests with a path.
func bodyOf(path string) string {
	if strings.HasPrefix(path, standin.UnsafePath) {
		return "form"
	}
	return ""
}

// sendRequest records r with the judge, sends it to an instance, and returns it with its answer,
// its times, and the instance and process that got it. It doesn't pass the answer to the judge:
// the caller does if the answer is to be checked.
func (s *site) sendRequest(ctx context.Context, caller *standin.Caller, i *instance, r Request, model string) Request {
	a := standin.CallerRequest{Address: i.callersAddress, ID: r.ID, Deadline: callDeadline}
	switch r.Kind {
	case NonIdempotent:
		a.Path, a.Body = standin.UnsafePath+r.ID, bodyOf(standin.UnsafePath)
	case Idempotent:
		a.Path = standin.SafePath + r.ID
	case Stream:
		a.Path, a.Model, a.Part = standin.StreamPath+r.ID, model, r.Part
	case Probe:
		a.Path = standin.VersionPath(r.Version)
	}
	if r.Path != "" {
		a.Path = r.Path
	}
	a.Resumes, a.LastEventID = r.Resumes, r.From-1
	if r.Leaves {
		a.LeaveAfter = leaveAfter
	}
	r.Instance, r.StartNumber, r.Began = i.number, i.currentStart(), s.now()
	s.judge.Sending(r.ID, r.Kind, r.processID(), r.Began)
	if r.Part != "" || r.Path != "" {
		s.judge.SendingCrashing(r.ID)
	}
	r.Answer = caller.Do(ctx, a, func() { r.Connected = true })
	r.Ended = s.now()
	return r
}

// runProbes asks an instance, until ctx ends, whether the newest configuration and the one
// before it are in force there.
func (s *site) runProbes(ctx context.Context, i *instance) {
	caller := standin.NewCaller()
	defer caller.Close()
	for n := 0; ctx.Err() == nil; n++ {
		newest := int(s.newestVersion.Load())
		for version := max(1, newest-1); version <= newest; version++ {
			r := s.sendRequest(ctx, caller, i, Request{ID: fmt.Sprintf("p%d-%d-%d", i.number, n, version), Kind: Probe, Version: version}, "")
			if ctx.Err() == nil {
				s.judge.Answered(r)
			}
		}
		time.Sleep(roundPause)
	}
}
