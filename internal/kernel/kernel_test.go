package kernel

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
)

// recorder notes the calls of its life cycle.
type recorder struct {
	name string
	mu   *sync.Mutex
	log  *[]string
	fail string
}

func (r *recorder) note(step string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.log = append(*r.log, step+" "+r.name)
	if r.fail == step {
		return errors.New("broken")
	}
	return nil
}

func (r *recorder) Provision(context.Context) error { return r.note("provision") }
func (r *recorder) Validate() error                 { return r.note("validate") }
func (r *recorder) Start(context.Context) error     { return r.note("start") }
func (r *recorder) Drain(context.Context) error     { return r.note("drain") }
func (r *recorder) Stop(context.Context) error      { return r.note("stop") }

func lifecycle(failing, step string) (*Lifecycle, *[]string) {
	var log []string
	var mu sync.Mutex
	l := &Lifecycle{}
	for _, name := range []string{"a", "b", "c"} {
		r := &recorder{name: name, mu: &mu, log: &log}
		if name == failing {
			r.fail = step
		}
		l.Add(name, r)
	}
	return l, &log
}

func TestLifecycleOrder(t *testing.T) {
	l, log := lifecycle("", "")
	if err := errors.Join(l.Start(t.Context()), l.Drain(t.Context()), l.Stop(t.Context()), l.Stop(t.Context())); err != nil {
		t.Fatal(err)
	}
	want := strings.Split("provision a,provision b,provision c,validate a,validate b,validate c,start a,start b,start c,drain c,drain b,drain a,stop c,stop b,stop a", ",")
	if !slices.Equal(*log, want) {
		t.Fatalf("got %v", *log)
	}
}

func TestFailedStartStopsWhatWasStarted(t *testing.T) {
	l, log := lifecycle("b", "start")
	if l.Start(t.Context()) == nil {
		t.Fatal("no error")
	}
	if got := (*log)[len(*log)-1]; got != "stop a" || slices.Contains(*log, "start c") {
		t.Fatalf("got %v", *log)
	}
}

func TestFailedValidationStartsNothing(t *testing.T) {
	l, log := lifecycle("c", "validate")
	if l.Start(t.Context()) == nil {
		t.Fatal("no error")
	}
	if slices.Contains(*log, "start a") {
		t.Fatalf("got %v", *log)
	}
}

// TestStopFromTwoSides stops from two goroutines, as a kill in the middle of a drain
// does: each part is stopped once.
func TestStopFromTwoSides(t *testing.T) {
	l, log := lifecycle("", "")
	if err := l.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() { _ = l.Stop(context.Background()) })
	}
	both.Wait()
	stops := 0
	for _, line := range *log {
		if strings.HasPrefix(line, "stop") {
			stops++
		}
	}
	if stops != 3 {
		t.Fatalf("%d stops of 3 parts", stops)
	}
}

type greeter interface{ Greet() string }

type polite struct{}

func (polite) Greet() string { return "hello" }

func TestRegistry(t *testing.T) {
	Register(Module{Name: "greeter.polite", New: func() any { return polite{} }})
	g, err := New[greeter]("greeter.polite")
	if err != nil || g.Greet() != "hello" {
		t.Fatalf("got %v, %v", g, err)
	}
	if _, err := New[greeter]("greeter.rude"); err == nil || !strings.Contains(err.Error(), "greeter.polite") {
		t.Fatalf("an unknown name doesn't list the known ones: %v", err)
	}
	if _, err := New[error]("greeter.polite"); err == nil {
		t.Fatal("a plug-in of the wrong type was given out")
	}
}
