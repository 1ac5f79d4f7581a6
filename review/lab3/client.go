package lab3

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	Status int
	Sealed bool
	Body   string
	// Err is why there is no complete answer.
	Err error
}

// RequestID returns a new id.
func RequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Ask sends one request to a daemon on a connection of its own, and waits for the whole answer.
func Ask(daemon *Daemon, method, path, id string, header map[string]string, body string, deadline time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+daemon.Front()+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = Host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Sealed: response.Header.Get("Response-Seal") != "", Body: string(data), Err: err}
}

// Host is the host of all routes.
const Host = "ficu95.example"

// Demand sends requests for models all the time, a request for each wanted model after each pause, at a daemon chosen at random.
type Demand struct {
	Daemons []*Daemon
	Path    string
	Pause   time.Duration
	Record  *Record

	mu     sync.Mutex
	wanted map[string]bool
	served map[string]int
}

// Want replaces the wanted models.
func (d *Demand) Want(models ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted, d.served = map[string]bool{}, map[string]int{}
	for _, m := range models {
		d.wanted[m] = true
	}
	d.Record.Line("clients now ask for %v", models)
}

// Served returns how many requests for a model have been served since the last Want.
func (d *Demand) Served(model string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.served[model]
}

// Run sends requests until ctx ends.
func (d *Demand) Run(ctx context.Context) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(d.Pause):
		}
		d.mu.Lock()
		var models []string
		for m := range d.wanted {
			models = append(models, m)
		}
		d.mu.Unlock()
		for _, model := range models {
			requests.Go(func() { d.ask(model) })
		}
	}
}

func (d *Demand) ask(model string) {
	daemon := d.Daemons[rand.IntN(len(d.Daemons))]
	id := RequestID()
	a := Ask(daemon, http.MethodPost, d.Path, id, map[string]string{
		"Model": model, "Token-Count": "100,20", "Prompt-Prefix": id[:8] + ":100",
	}, "prompt", 4*time.Second)
	d.Record.Line("request %s for %s at %s: status %d, sealed %v, error %v", id, model, daemon.IP, a.Status, a.Sealed, a.Err)
	if a.Status == http.StatusOK && a.Err == nil {
		d.mu.Lock()
		d.served[model]++
		d.mu.Unlock()
	}
}

// WaitFor waits until a condition holds, and reports whether it did in time.
func WaitFor(limit time.Duration, condition func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if condition() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
