package httpengine_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/engine/httpengine"
	"limpethub/internal/lab/faultproxy"
	"limpethub/internal/lab/standin"
	"limpethub/internal/lab/standin/modelengine"
	"limpethub/internal/lab/standin/plainservice"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// world is an adapter whose servers stand behind fault-injecting proxies.
type world struct {
	t       *testing.T
	adapter *httpengine.Engine

	engine      *modelengine.Engine
	engineProxy *faultproxy.Proxy

	service      *plainservice.Service
	serviceProxy *faultproxy.Proxy
}

func newWorld(t *testing.T, o httpengine.Options) *world {
	t.Helper()
	server, engineHost := newEngine(t, nil)
	service := plainservice.New("desk")
	serviceHost, err := standin.Listen(service.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(serviceHost.Kill)
	if o.SilentAfter == 0 {
		o.SilentAfter = time.Minute
	}
	return &world{
		t: t, adapter: httpengine.New(o),
		engine: server, engineProxy: newProxy(t, engineHost.Address()),
		service: service, serviceProxy: newProxy(t, serviceHost.Address()),
	}
}

func newProxy(t *testing.T, target string) *faultproxy.Proxy {
	t.Helper()
	p, err := faultproxy.Listen(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// generate sends a model request through the proxy and reads its whole answer.
func (w *world) generate(ctx context.Context, id request.ID, tokens int) error {
	s, err := w.adapter.Generate(ctx, serverAt(w.engineProxy.Address()), completionCall(id, tokens))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	_, err = drain(s)
	return err
}

// invoke sends a service call that must not repeat through the proxy.
func (w *world) invoke(ctx context.Context, id request.ID) error {
	_, err := w.adapter.Invoke(ctx, serverAt(w.serviceProxy.Address()), formCall(id))
	return err
}

func formCall(id request.ID) engine.Call {
	return engine.Call{
		Request: request.Request{ID: id},
		Method:  http.MethodPost,
		Path:    "/forms",
		Header:  http.Header{"Idempotency-Key": {string(id)}},
		Body:    fmt.Appendf(nil, "form %s", id),
	}
}

// faults returns NoFaults with one change.
func faults(change func(*faultproxy.Faults)) faultproxy.Faults {
	f := faultproxy.NoFaults()
	change(&f)
	return f
}

// contradiction is the oracle: it says what is wrong about a failed request's
// verdict, given how often the request ran; "" if nothing is.
func contradiction(v verdict.Verdict, runs int) string {
	switch {
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case v == verdict.NotRun && runs > 0:
		return "said not run, but ran"
	case v == verdict.Ran && runs == 0:
		return "said ran, but didn't run"
	}
	return ""
}

// plainClient is the broken variant: an http.Client with a rewindable body and the
// caller's Idempotency-Key, whose connection errors are all taken as proof.
type plainClient struct{ client *http.Client }

func (c *plainClient) invoke(address string, id request.ID, body string) verdict.Verdict {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/forms", newStringReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("X-Request-Id", string(id))
	r.Header.Set("Idempotency-Key", string(id))
	answer, err := c.client.Do(r)
	if err != nil {
		return verdict.NotRun
	}
	_ = answer.Body.Close()
	return verdict.Ran
}

func verdictOf(err error) verdict.Verdict {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return verdict.MayHaveRun
}
