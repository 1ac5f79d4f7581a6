// Late-order is a case of the review: an order to load a model gets no answer and is carried out seconds later, after
// the server has started again under the id that it had.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"

	"limpethub/internal/lab/standin"
	platform "limpethub/platform/standin"
	"limpethub/review/lab"
)

const (
	machines = 3
	// engines hold two models each.
	engines  = 7
	engineMB = 200
	modelMB  = 90
	places   = 2
	// lateBy is how long after it arrived the order without an answer is carried out. The pages say 2 to 12 s.
	lateBy = 10 * time.Second
	// restartAfter is the time from that order to the restart of its server.
	restartAfter = 3500 * time.Millisecond
	// usedBefore is how long before the restart the server's models are used last.
	usedBefore = 1300 * time.Millisecond
	// adapterMemory is for how long an adapter that was asked for gets a place again.
	adapterMemory = 11 * time.Second
	// eventPause is the time between two events of a stream, which has five.
	eventPause = 200 * time.Millisecond
	limit      = 110 * time.Second
)

func main() { lab.Main(limit, run) }

// deployment is the stand-ins of one run.
type deployment struct {
	c       *lab.Case
	store   *platform.Store
	last    *engine
	engines []*engine

	mu sync.Mutex
	// overloaded is what the first order beyond a server's memory did.
	overloaded string
}

// engine is a server, with the proxy through which its orders go.
type engine struct {
	*platform.Server
	d *deployment

	mu sync.Mutex
	// loseLoadOf is the model whose next load order gets no answer; lost is closed once it has come.
	loseLoadOf string
	lost       chan struct{}
}

func run(ctx context.Context, c *lab.Case) (bool, error) {
	d := &deployment{c: c}
	var err error
	if d.store, err = platform.NewStore(); err != nil {
		return false, err
	}
	c.AtEnd(d.store.Close)
	resident := models(0, places*(engines-1))
	for n := range engines {
		var holds []string
		if n < engines-1 {
			holds = resident[places*n : places*(n+1)]
		}
		if err := d.addEngine(n, holds); err != nil {
			return false, err
		}
	}
	first := len(resident)
	d.configure(1, models(0, first+1))
	fleet, err := c.Machines(machines, d.store.Address())
	if err != nil {
		return false, err
	}
	if err := lab.StartAll(ctx, fleet); err != nil {
		return false, err
	}
	// The other engines' models are used all the time.
	go d.use(ctx, fleet, resident)

	old, late, wanted := model(first), model(first+1), model(first+2)
	if err := lab.Until(ctx, "the last engine holds its first model", 20*time.Second, func() bool { return d.holds(old) }); err != nil {
		return false, err
	}
	d.ask(ctx, fleet[0], old+"/a1")
	if err := lab.Until(ctx, "the last engine holds an adapter", 10*time.Second, func() bool { return d.holds(old + "/a1") }); err != nil {
		return false, err
	}
	if !lab.Sleep(ctx, adapterMemory) {
		return false, ctx.Err()
	}
	if c.Trouble {
		d.last.lose(late)
	}
	c.Log("the operator configures models %s and %s besides", late, wanted)
	d.configure(2, models(0, first+3))
	if c.Trouble {
		select {
		case <-d.last.lost:
		case <-time.After(15 * time.Second):
			return false, fmt.Errorf("no order to load %s came", late)
		}
		lab.Sleep(ctx, restartAfter-usedBefore)
		// Both models are in use, so that neither gives way to another one.
		go d.ask(ctx, fleet[1], old)
		go d.ask(ctx, fleet[1], late)
		lab.Sleep(ctx, usedBefore)
		c.Log("server %s crashes and starts again under the same id, empty", d.last.ID())
		if err := d.last.Restart(); err != nil {
			return false, err
		}
	}
	for end := time.Now().Add(lateBy); time.Now().Before(end); {
		go d.ask(ctx, fleet[1], wanted)
		lab.Sleep(ctx, 300*time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.overloaded != "", nil
}

func model(n int) string { return fmt.Sprintf("m%02d", n) }

func models(from, to int) (out []string) {
	for n := from; n < to; n++ {
		out = append(out, model(n))
	}
	return out
}

func (d *deployment) configure(version int, models []string) {
	d.c.Log("configuration %d has %d models of %d MB; a server has %d MB", version, len(models), modelMB, engineMB)
	d.store.Write(platform.ConfigurationKey, platform.Document(version, "desk", platform.Pool{
		Service: "llm", MemoryMB: engineMB, AdapterSlots: 2, ModelMB: modelMB, Models: models,
	}))
}

func (d *deployment) addEngine(n int, holds []string) error {
	e := &engine{d: d, lost: make(chan struct{})}
	var err error
	e.Server, err = platform.NewServer(d.store, platform.ServerOptions{
		ID: fmt.Sprintf("llm-%d", n), Service: "llm", Zone: fmt.Sprintf("z%d", n%3), Models: holds, Unannounced: true,
		OnOrder: d.carriedOut, EventPause: eventPause,
	})
	if err != nil {
		return err
	}
	d.c.AtEnd(e.Close)
	proxy, err := e.serveProxy()
	if err != nil {
		return err
	}
	d.c.AtEnd(proxy.Kill)
	e.AnnounceAt(proxy.Address())
	d.engines = append(d.engines, e)
	d.last = e
	return nil
}

// carriedOut judges the rule LIMIT: a server is ordered to load more than it holds. held lists models and adapters.
func (d *deployment) carriedOut(server string, order platform.Order, held []string) {
	used := 0
	for _, ref := range held {
		if strings.Contains(ref, "/") {
			used++
			continue
		}
		used += modelMB
	}
	d.c.Log("server %s carries out: %s %s, expected %d, holder %s, fence %d; it then holds %v, %d of %d MB",
		server, order.Operation, order.Ref(), order.Expected, order.Holder, order.Fence, held, used, engineMB)
	if order.Operation != "load" || used <= engineMB {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.overloaded = order.Ref()
	d.c.Log("LIMIT: server %s was ordered to load %s beyond its %d MB, and crashes", server, order.Ref(), engineMB)
	go d.last.Close()
}

// holds reports whether the last engine says that it holds a model or an adapter.
func (d *deployment) holds(ref string) bool {
	r, err := http.NewRequest(http.MethodGet, "http://"+d.last.ListenAddress()+"/report", nil)
	if err != nil {
		return false
	}
	r.Header.Set("Expect-Instance", d.last.ID())
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	var report struct {
		Models []struct {
			Name     string   `json:"name"`
			Adapters []string `json:"adapters"`
		} `json:"models"`
	}
	if json.NewDecoder(answer.Body).Decode(&report) != nil {
		return false
	}
	for _, m := range report.Models {
		if m.Name == ref {
			return true
		}
		for _, adapter := range m.Adapters {
			if m.Name+"/"+adapter == ref {
				return true
			}
		}
	}
	return false
}

// use asks for each of the models once a second.
func (d *deployment) use(ctx context.Context, fleet []*lab.Machine, resident []string) {
	for n := 0; lab.Sleep(ctx, time.Second/time.Duration(len(resident))); n++ {
		go d.quiet(ctx, fleet[n%len(fleet)], resident[n%len(resident)])
	}
}

var requests struct {
	sync.Mutex
	n int
}

func (d *deployment) quiet(ctx context.Context, m *lab.Machine, model string) platform.Answer {
	requests.Lock()
	requests.n++
	id := fmt.Sprintf("%016x", requests.n)
	requests.Unlock()
	caller := platform.NewCaller()
	defer caller.Close()
	return caller.Do(ctx, platform.CallerRequest{Address: m.Front(), Path: platform.StreamPath + "x", ID: id, Model: model, Deadline: 3 * time.Second}, nil)
}

func (d *deployment) ask(ctx context.Context, m *lab.Machine, model string) {
	began := d.c.Now()
	a := d.quiet(ctx, m, model)
	whole := "whole"
	if a.Err != nil || a.Body != platform.StreamAnswer(0) {
		whole = "not whole"
	}
	d.c.Log("a client asked machine %s for %s at %.3f s: status %d, the stream is %s", m.Name(), model, began.Seconds(), a.Status, whole)
}

// serveProxy serves what the machines send to the server.
func (e *engine) serveProxy() (*standin.Host, error) {
	target, err := url.Parse("http://" + e.ListenAddress())
	if err != nil {
		return nil, err
	}
	pass := httputil.NewSingleHostReverseProxy(target)
	pass.FlushInterval = -1
	pass.ErrorLog = log.New(io.Discard, "", 0)
	pass.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	return standin.Listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/order" {
			pass.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var order platform.Order
		if json.Unmarshal(body, &order) == nil && e.loses(order) {
			e.d.c.Log("server %s gets: %s %s, expected %d, holder %s; it gives no answer, and carries the order out %s later",
				e.ID(), order.Operation, order.Ref(), order.Expected, order.Holder, lateBy)
			time.AfterFunc(lateBy, func() { e.carryOutLate(r.Header.Get("Expect-Instance"), string(body)) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		pass.ServeHTTP(w, r)
	}))
}

// lose makes the next order to load a model get no answer.
func (e *engine) lose(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseLoadOf = model
}

func (e *engine) loses(o platform.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Operation != "load" || o.Ref() != e.loseLoadOf {
		return false
	}
	e.loseLoadOf = ""
	close(e.lost)
	return true
}

// carryOutLate hands an order to the server, which checks the id and the number that it expects now.
func (e *engine) carryOutLate(expectInstance, body string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.ListenAddress()+"/order", strings.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Expect-Instance", expectInstance)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		e.d.c.Log("the late order to server %s failed: %v", e.ID(), err)
		return
	}
	_ = answer.Body.Close()
	e.d.c.Log("the late order to server %s is judged there with status %d", e.ID(), answer.StatusCode)
}
