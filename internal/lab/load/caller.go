package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"limpethub/internal/pause"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// maxRepeats is how often a caller repeats one request.
const maxRepeats = 2

// minRepeatPause is the least time between two tries.
const minRepeatPause = 50 * time.Millisecond

// graceAfterDeadline is how long a caller still waits for an answer that is late.
const graceAfterDeadline = 500 * time.Millisecond

// errGaveUp means that the caller broke off: its deadline and the grace had passed.
var errGaveUp = errors.New("load: the caller gave up")

// Options describes the callers of a run.
type Options struct {
	// Seeds are the addresses of instances that callers are configured with.
	Seeds []string
	// Domains are the failure domains in which callers are, in turns.
	Domains []string
	// Callers is how many there are.
	Callers int
}

// Run sends the asks at their times and returns when all have ended.
func Run(ctx context.Context, o Options, asks []Ask) *Results {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}
	defer client.CloseIdleConnections()
	callers := make([]*caller, o.Callers)
	for i := range callers {
		callers[i] = newCaller(client, o, i)
	}
	results := newResults()
	start := time.Now()
	var all sync.WaitGroup
	for _, ask := range asks {
		timer := time.NewTimer(time.Until(start.Add(ask.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			all.Wait()
			return results
		}
		all.Go(func() { results.record(callers[ask.Caller].ask(ctx, ask)) })
	}
	all.Wait()
	return results
}

// caller is one client of the site.
type caller struct {
	client  *http.Client
	entries *entries
}

func newCaller(client *http.Client, o Options, number int) *caller {
	seeds := append([]string(nil), o.Seeds[number%len(o.Seeds):]...)
	seeds = append(seeds, o.Seeds[:number%len(o.Seeds)]...)
	domain := ""
	if len(o.Domains) > 0 {
		domain = o.Domains[number%len(o.Domains)]
	}
	return &caller{client: client, entries: &entries{client: client, seeds: seeds, domain: domain, failed: map[string]time.Time{}}}
}

// ask gets one request answered, repeating it as its verdicts allow.
func (c *caller) ask(ctx context.Context, ask Ask) ending {
	e := ending{ask: ask, arrived: time.Now()}
	deadline := e.arrived.Add(ask.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(graceAfterDeadline))
	defer cancel()
	var first firstSend
	for {
		t := c.try(ctx, ask, deadline, first)
		e.err = t.err
		if ctx.Err() != nil && t.err != nil {
			e.err = fmt.Errorf("%w: %w", errGaveUp, t.err)
			break
		}
		e.pieces = t.pieces
		if t.sent {
			e.sent++
		}
		first = first.after(t, e.arrived)
		wait, again := repeatAfter(ask, t.err)
		if !again || e.sent > maxRepeats || time.Now().Add(wait).After(deadline) {
			break
		}
		pause.For(ctx, wait)
	}
	e.took = time.Since(e.arrived)
	return e
}

// firstSend remembers where a request was first sent, for repeats, and since when its
// caller has had it.
type firstSend struct {
	entry   Entry
	arrived time.Time
}

// after takes an attempt into account. Once a caller has heard that a request didn't
// run, the next attempt is a first one again.
func (f firstSend) after(t attempt, arrived time.Time) firstSend {
	var failure *Failure
	switch {
	case errors.As(t.err, &failure) && failure.Verdict == verdict.NotRun:
		return firstSend{}
	case f.entry.Instance == "" && t.sent:
		return firstSend{entry: t.entry, arrived: arrived}
	}
	return f
}

// header is the value of request.HeaderFirstInstance; empty for a first attempt.
func (f firstSend) header() string {
	if f.entry.Instance == "" {
		return ""
	}
	age := time.Since(f.arrived)
	return fmt.Sprintf("%s;incarnation=%d;age=%d", f.entry.Instance, f.entry.Incarnation, age.Milliseconds())
}

// repeatAfter says whether and when a good caller repeats a request. A
// non-idempotent one whose connection broke is repeated, too: the instance finds out
// whether it ran.
func repeatAfter(ask Ask, err error) (time.Duration, bool) {
	var failure *Failure
	switch {
	case err == nil, errors.Is(err, ErrForeign), errors.Is(err, ErrOrder):
		return 0, false
	case errors.As(err, &failure):
		wait := max(minRepeatPause, time.Duration(failure.RetryAfterMillis)*time.Millisecond)
		mayRepeat := failure.Verdict == verdict.NotRun && failure.RetryAfterMillis > 0
		return wait, mayRepeat || (ask.Idempotent && failure.Verdict != verdict.NotRun)
	}
	return minRepeatPause, true
}

// attempt is one try at one instance.
type attempt struct {
	entry  Entry
	sent   bool
	pieces []time.Time
	err    error
}

func (c *caller) try(ctx context.Context, ask Ask, deadline time.Time, first firstSend) attempt {
	entry, err := c.entries.choose(ctx, string(ask.Model))
	if err != nil {
		return attempt{err: err}
	}
	t := attempt{entry: entry, sent: true}
	r, err := newAskRequest(ctx, entry, ask, deadline, first.header())
	if err != nil {
		t.err = err
		return t
	}
	answer, err := c.client.Do(r)
	if err != nil {
		c.entries.unreachable(entry)
		t.err = fmt.Errorf("load: no answer: %w", err)
		return t
	}
	defer func() { _ = answer.Body.Close() }()
	t.pieces, t.err = readAnswer(answer, ask)
	if errors.Is(t.err, ErrCut) {
		c.entries.unreachable(entry)
	}
	return t
}

func newAskRequest(ctx context.Context, entry Entry, ask Ask, deadline time.Time, first string) (*http.Request, error) {
	path, body := "/v1/services/"+ask.Service+"/forms", []byte(`{"form":"`+string(ask.ID)+`"}`)
	if ask.Service == "" {
		path, body = "/v1/completions", completionBody(ask)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	left := max(1, time.Until(deadline).Milliseconds())
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(request.HeaderID, string(ask.ID))
	r.Header.Set(request.HeaderClass, ask.Class)
	r.Header.Set(request.HeaderTimeout, strconv.FormatInt(left, 10))
	r.Header.Set(request.HeaderIdempotent, strconv.FormatBool(ask.Idempotent))
	if first != "" && !ask.Idempotent {
		r.Header.Set(request.HeaderFirstInstance, first)
	}
	return r, nil
}

func completionBody(ask Ask) []byte {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{string(ask.Model), ask.Prompt, ask.MaxTokens, true})
	if err != nil {
		panic(err)
	}
	return body
}

// readAnswer reads an answer to its end and checks that it is whole and the ask's own.
func readAnswer(answer *http.Response, ask Ask) ([]time.Time, error) {
	if answer.StatusCode != http.StatusOK {
		return nil, decodeFailure(answer.Body)
	}
	if ask.Service != "" {
		return nil, checkServiceAnswer(answer.Body, ask)
	}
	c := &checker{id: ask.ID}
	err := c.readStream(answer.Body)
	if err == nil && c.next != ask.MaxTokens {
		err = fmt.Errorf("%w: %d pieces, want %d", ErrCut, c.next, ask.MaxTokens)
	}
	return c.times, err
}

func checkServiceAnswer(body io.Reader, ask Ask) error {
	var answer struct {
		ID request.ID `json:"id"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return ErrCut
	}
	if AskOf(answer.ID) != ask.ID {
		return fmt.Errorf("%w: %q for %s", ErrForeign, answer.ID, ask.ID)
	}
	return nil
}
