// Release is a case of the review: the machine that holds the placement lease is stopped as planned, the answer to its
// release of the lease is lost, and the open connections between the machines go silent.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"limpethub/internal/lab/standin"
	platform "limpethub/platform/standin"
	"limpethub/review/lab"
)

const (
	machines = 3
	engines  = 2
	engineMB = 250
	modelMB  = 90
	// adapters is how many adapters each model has, and slots how many a server holds.
	adapters = 60
	slots    = 8
	// requestPause is the time between two requests to a machine.
	requestPause = 20 * time.Millisecond
	// silentAfter is how long after the SIGTERM the connections go silent.
	silentAfter = 100 * time.Millisecond
	// lossWindow is the time over which the share of lost answers counts.
	lossWindow = 4500 * time.Millisecond
	limit      = 60 * time.Second
)

func main() { lab.Main(limit, run) }

type deployment struct {
	c     *lab.Case
	store *platform.Store

	mu sync.Mutex
	// holder is the machine that sent the last order.
	holder string
	// highest is the highest fencing number of an order to each server, and its holder.
	highest map[string]platform.Order
	broken  int
	// writes are the times of the calls that write to the store, and lostAt is that of the one whose answer was lost.
	writes []time.Duration
	lostAt time.Duration
	// losesRelease is true while the answer to the release of the lease is to be lost.
	losesRelease bool
}

func run(ctx context.Context, c *lab.Case) (bool, error) {
	d := &deployment{c: c, highest: map[string]platform.Order{}}
	var err error
	if d.store, err = platform.NewStore(); err != nil {
		return false, err
	}
	c.AtEnd(d.store.Close)
	front, err := standin.Listen(http.HandlerFunc(d.serveStore))
	if err != nil {
		return false, err
	}
	c.AtEnd(front.Kill)
	models := []string{"m1", "m2", "m3", "m4"}
	document, err := configuration(models)
	if err != nil {
		return false, err
	}
	d.store.Write(platform.ConfigurationKey, document)
	for n := range engines {
		if err := d.addEngine(n, models[2*n:2*n+2]); err != nil {
			return false, err
		}
	}
	fleet, err := c.Machines(machines, front.Address())
	if err != nil {
		return false, err
	}
	if err := lab.StartAll(ctx, fleet); err != nil {
		return false, err
	}
	for _, m := range fleet {
		go ask(ctx, m, models)
	}
	if err := lab.Until(ctx, "a machine gives orders", 20*time.Second, func() bool { return d.lastHolder() != "" }); err != nil {
		return false, err
	}
	lab.Sleep(ctx, 6*time.Second)
	holder := d.lastHolder()
	if c.Trouble {
		d.mu.Lock()
		d.losesRelease = true
		d.mu.Unlock()
	}
	for _, m := range fleet {
		if m.Name() == holder {
			c.Log("machine %s, which gives the orders, gets SIGTERM", holder)
			m.Signal(syscall.SIGTERM, true)
		}
	}
	lab.Sleep(ctx, silentAfter)
	if c.Trouble {
		c.Log("the open connections between the machines go silent; new ones work")
		for _, m := range fleet {
			m.SilencePeers()
		}
	}
	lab.Sleep(ctx, 8*time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Trouble {
		began, n := d.lostAt-lossWindow/2, 0
		for _, at := range d.writes {
			if at >= began && at < began+lossWindow {
				n++
			}
		}
		c.Log("the answer to 1 of %d writes in %s was lost", n, lossWindow)
	}
	c.Log("%d orders reached a server with a lower fencing number than one before", d.broken)
	return d.broken > 0, nil
}

func (d *deployment) lastHolder() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder
}

// configuration is the stand-ins' usual one, with more adapters.
func configuration(models []string) ([]byte, error) {
	var document map[string]any
	data := platform.Document(1, "desk", platform.Pool{Service: "llm", MemoryMB: engineMB, AdapterSlots: slots, ModelMB: modelMB, Models: models})
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	for _, service := range document["services"].([]any) {
		if engine, ok := service.(map[string]any)["engine"].(map[string]any); ok {
			for _, m := range engine["models"].([]any) {
				m.(map[string]any)["adapters"] = adapters
			}
		}
	}
	return json.Marshal(document)
}

func (d *deployment) addEngine(n int, holds []string) error {
	id := fmt.Sprintf("llm-%d", n)
	s, err := platform.NewServer(d.store, platform.ServerOptions{ID: id, Service: "llm", Zone: fmt.Sprintf("z%d", n%3), Models: holds, Unannounced: true})
	if err != nil {
		return err
	}
	d.c.AtEnd(s.Close)
	target, err := url.Parse("http://" + s.ListenAddress())
	if err != nil {
		return err
	}
	pass := httputil.NewSingleHostReverseProxy(target)
	pass.FlushInterval = -1
	pass.ErrorLog = log.New(io.Discard, "", 0)
	proxy, err := standin.Listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/order" {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			var order platform.Order
			if json.Unmarshal(body, &order) == nil && d.ordered(id, order) {
				noted := &notedStatus{ResponseWriter: w}
				pass.ServeHTTP(noted, r)
				d.c.Log("server %s answers the order of holder %s with fence %d: %d", id, order.Holder, order.Fence, noted.status)
				return
			}
		}
		pass.ServeHTTP(w, r)
	}))
	if err != nil {
		return err
	}
	d.c.AtEnd(proxy.Kill)
	s.AnnounceAt(proxy.Address())
	return nil
}

// notedStatus notes the status of an answer.
type notedStatus struct {
	http.ResponseWriter
	status int
}

func (n *notedStatus) WriteHeader(status int) {
	n.status = status
	n.ResponseWriter.WriteHeader(status)
}

// ordered judges the rule ONE for servers that don't check fencing numbers: none is lower than one before. It reports
// whether that is broken.
func (d *deployment) ordered(server string, o platform.Order) (broken bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder = o.Holder
	verdict := ""
	if highest := d.highest[server]; o.Fence < highest.Fence {
		broken = true
		d.broken++
		verdict = fmt.Sprintf("; ONE: after one of holder %s with fence %d", highest.Holder, highest.Fence)
	} else {
		d.highest[server] = o
	}
	d.c.Log("server %s gets an order: %s %s, expected %d, holder %s, fence %d%s", server, o.Operation, o.Ref(), o.Expected, o.Holder, o.Fence, verdict)
	return broken
}

// serveStore passes a call on to the store, and loses one answer.
func (d *deployment) serveStore(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.URL.Path == "/kv-txn" {
		d.mu.Lock()
		d.writes = append(d.writes, d.c.Now())
		d.mu.Unlock()
	}
	if r.URL.Path != "/kv-txn" || !d.loses(body) {
		d.store.ServeHTTP(w, r)
		return
	}
	d.store.ServeHTTP(&unsent{header: http.Header{}}, r)
	// Nothing further comes on the connection.
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// loses reports whether the answer to a transaction is to be lost: the first one that releases the lease.
func (d *deployment) loses(body []byte) bool {
	var transaction struct {
		Puts []struct {
			Value []byte `json:"value"`
		} `json:"puts"`
	}
	if json.Unmarshal(body, &transaction) != nil || len(transaction.Puts) != 1 {
		return false
	}
	var record struct {
		Holder   string `json:"holder"`
		Released bool   `json:"released"`
	}
	if json.Unmarshal(transaction.Puts[0].Value, &record) != nil || !record.Released {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	loses := d.losesRelease
	d.losesRelease = false
	if loses {
		d.lostAt = d.c.Now()
	}
	d.c.Log("the store carries out: machine %s releases the placement lease; answer lost: %t", record.Holder, loses)
	return loses
}

// unsent is an answer that isn't sent.
type unsent struct{ header http.Header }

func (u *unsent) Header() http.Header { return u.header }

func (u *unsent) WriteHeader(int) {}

func (u *unsent) Write(p []byte) (int, error) { return len(p), nil }

var requests atomic.Int64

// ask sends requests for adapters at random.
func ask(ctx context.Context, m *lab.Machine, models []string) {
	caller := platform.NewCaller()
	defer caller.Close()
	for lab.Sleep(ctx, requestPause) {
		go func() {
			ref := fmt.Sprintf("%s/a%d", models[rand.IntN(len(models))], 1+rand.IntN(adapters))
			caller.Do(ctx, platform.CallerRequest{
				Address: m.Front(), Path: platform.StreamPath + "x", ID: fmt.Sprintf("%016x", requests.Add(1)), Model: ref, Deadline: 2 * time.Second,
			}, nil)
		}()
	}
}
