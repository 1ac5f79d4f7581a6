package kernel

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
)

// recorder records the life cycle calls it gets and fails at failingStep.
type recorder struct {
	name        string
	mu          *sync.Mutex
	log         *[]string
	failingStep string
}

func (r *recorder) record(step string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.log = append(*r.log, step+" "+r.name)
	if r.failingStep == step {
		return errors.New("broken")
	}
	return nil
}

func (r *recorder) Provision(context.Context) error { return r.record("provision") }
func (r *recorder) Validate() error                 { return r.record("validate") }
func (r *recorder) Start(context.Context) error     { return r.record("start") }
func (r *recorder) Drain(context.Context) error     { return r.record("drain") }
func (r *recorder) Stop(context.Context) error      { return r.record("stop") }

func newTestLifecycle(failing, step string) (*Lifecycle, *[]string) {
	var log []string
	var mu sync.Mutex
	l := &Lifecycle{}
	for _, name := range []string{"a", "b", "c"} {
		r := &recorder{name: name, mu: &mu, log: &log}
		if name == failing {
			r.failingStep = step
		}
		l.Add(name, r)
	}
	return l, &log
}

func TestLifecycleOrder(t *testing.T) {
	l, log := newTestLifecycle("", "")
	// The second Stop must do nothing.
	if err := errors.Join(l.Start(t.Context()), l.Drain(t.Context()), l.Stop(t.Context()), l.Stop(t.Context())); err != nil {
		t.Fatal(err)
	}
	want := strings.Split("provision a,provision b,provision c,validate a,validate b,validate c,start a,start b,start c,drain c,drain b,drain a,stop c,stop b,stop a", ",")
	if !slices.Equal(*log, want) {
		t.Fatalf("got calls %v, want start in the order of adding, drain and stop in reverse", *log)
	}
}

func TestFailedStartStopsStartedParts(t *testing.T) {
	l, log := newTestLifecycle("b", "start")
	if l.Start(t.Context()) == nil {
		t.Fatal("Start succeeded, want the error of part b")
	}
	if got := (*log)[len(*log)-1]; got != "stop a" || slices.Contains(*log, "start c") {
		t.Fatalf("got calls %v, want part a stopped last and part c not started", *log)
	}
}

func TestFailedValidationStartsNothing(t *testing.T) {
	l, log := newTestLifecycle("c", "validate")
	if l.Start(t.Context()) == nil {
		t.Fatal("Start succeeded, want the validation error of part c")
	}
	if slices.Contains(*log, "start a") {
		t.Fatalf("got calls %v, want no part started", *log)
	}
}

// TestConcurrentStops guards against stopping a part twice when Stop is called from two
// goroutines, as happens if a daemon is told to stop immediately during a drain.
func TestConcurrentStops(t *testing.T) {
	l, log := newTestLifecycle("", "")
	if err := l.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { _ = l.Stop(context.Background()) })
	}
	wg.Wait()
	stops := 0
	for _, line := range *log {
		if strings.HasPrefix(line, "stop") {
			stops++
		}
	}
	if stops != 3 {
		t.Fatalf("got %d calls of Stop, want one for each of 3 parts", stops)
	}
}

type greeter interface{ Greet() string }

type polite struct{}

func (polite) Greet() string { return "hello" }

func TestRegistry(t *testing.T) {
	Register(Module{Name: "greeter.polite", New: func() any { return polite{} }})
	g, err := New[greeter]("greeter.polite")
	if err != nil || g.Greet() != "hello" {
		t.Fatalf("got %v, %v; want a greeter that says hello", g, err)
	}
	if _, err := New[greeter]("greeter.rude"); err == nil || !strings.Contains(err.Error(), "greeter.polite") {
		t.Fatalf("got %v, want an error that lists the registered names of the kind", err)
	}
	if _, err := New[error]("greeter.polite"); err == nil {
		t.Fatal("New returned a plug-in of the wrong type, want an error")
	}
}
