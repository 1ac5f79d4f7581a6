package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"limpethub/platform/standin"
)

const (
	// thinkTime is the mean time between an answer and the caller's next request.
	thinkTime    = 40 * time.Millisecond
	callDeadline = 3 * time.Second
	probePeriod  = 250 * time.Millisecond
	// adapterShare is the part of streams that ask for an adapter.
	adapterShare = 0.2
)

// tally counts answers.
type tally struct {
	mu       sync.Mutex
	Requests int            `json:"requests"`
	Answers  map[string]int `json:"answers"`
}

func (t *tally) add(a standin.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Requests++
	word := fmt.Sprint(a.Status)
	if a.Err != nil {
		word = "cut or none"
	}
	t.Answers[word]++
}

// load runs callers until ctx ends. They keep their connections to an instance as long
// as it takes them.
func (s *site) load(ctx context.Context, seed uint64, callers int, t *tally) {
	var all sync.WaitGroup
	for n := range callers {
		all.Go(func() { s.call(ctx, rand.New(rand.NewPCG(seed, uint64(100+n))), fmt.Sprintf("c%d", n), t) })
	}
	for _, i := range s.instances {
		all.Go(func() { s.probe(ctx, i) })
	}
	all.Wait()
}

func (s *site) call(ctx context.Context, random *rand.Rand, name string, t *tally) {
	caller := standin.NewCaller()
	defer caller.Close()
	for n := 0; ctx.Err() == nil; n++ {
		i := s.instances[random.IntN(len(s.instances))]
		kind := []RequestKind{Unsafe, Unsafe, Safe, Stream, Stream}[random.IntN(5)]
		model := s.models[random.IntN(len(s.models))]
		if random.Float64() < adapterShare {
			model += "/a1"
		}
		r := s.ask(ctx, caller, i, Request{ID: fmt.Sprintf("%s-%d", name, n), Kind: kind}, model)
		t.add(r.Answer)
		if ctx.Err() == nil {
			s.judge.Answered(r)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(thinkTime)))
	}
}

// ask makes a request at an instance.
func (s *site) ask(ctx context.Context, caller *standin.Caller, i *instance, r Request, model string) Request {
	a := standin.CallerRequest{Address: i.callers, ID: r.ID, Deadline: callDeadline}
	switch r.Kind {
	case Unsafe:
		a.Path, a.Body = standin.UnsafePath+r.ID, "form"
	case Safe:
		a.Path = standin.SafePath + r.ID
	case Stream:
		a.Path, a.Model = standin.StreamPath+r.ID, model
	case Probe:
		a.Path = standin.VersionPath(r.Version)
	}
	r.Instance, r.Start, r.Began = i.number, i.process(), s.now()
	s.judge.Asking(r.ID, r.Kind, r.Began)
	r.Answer = caller.Do(ctx, a, func() { r.Connected = true })
	r.Ended = s.now()
	return r
}

// probe asks an instance again and again which configuration is in force there.
func (s *site) probe(ctx context.Context, i *instance) {
	caller := standin.NewCaller()
	defer caller.Close()
	for n := 0; ctx.Err() == nil; n++ {
		newest := int(s.version.Load())
		for version := max(1, newest-1); version <= newest; version++ {
			r := s.ask(ctx, caller, i, Request{ID: fmt.Sprintf("p%d-%d-%d", i.number, n, version), Kind: Probe, Version: version}, "")
			if ctx.Err() == nil {
				s.judge.Answered(r)
			}
		}
		time.Sleep(probePeriod)
	}
}
