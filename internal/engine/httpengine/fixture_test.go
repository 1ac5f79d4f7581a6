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

// fixture holds an adapter and two servers, each behind a fault-injecting proxy.
type fixture struct {
	t       *testing.T
	adapter *httpengine.Engine

	engine      *modelengine.Engine
	engineProxy *faultproxy.Proxy

	service      *plainservice.Service
	serviceProxy *faultproxy.Proxy
}

func newFixture(t *testing.T, o httpengine.Options) *fixture {
	t.Helper()
	server, engineHost := newServer(t, nil)
	service := plainservice.New("desk")
	serviceHost, err := standin.Listen(service.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(serviceHost.Kill)
	if o.SilentAfter == 0 {
		o.SilentAfter = time.Minute
	}
	return &fixture{
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

// generate sends a model request through the proxy and reads the complete answer.
func (fx *fixture) generate(ctx context.Context, id request.ID, tokens int) error {
	s, err := fx.adapter.Generate(ctx, serverAt(fx.engineProxy.Address()), completionCall(id, tokens))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	_, err = readAllEvents(s)
	return err
}

// invoke sends a service call through the proxy.
func (fx *fixture) invoke(ctx context.Context, id request.ID) error {
	_, err := fx.adapter.Invoke(ctx, serverAt(fx.serviceProxy.Address()), formCall(id))
	return err
}

// formCall returns a call that runs once per request. It has an Idempotency-Key because net/http
// considers such a request replayable and may resend it; the adapter must prevent that.
func formCall(id request.ID) engine.Call {
	return engine.Call{
		Request: request.Request{ID: id},
		Method:  http.MethodPost,
		Path:    "/forms",
		Header:  http.Header{"Idempotency-Key": {string(id)}},
		Body:    fmt.Appendf(nil, "form %s", id),
	}
}

// faults returns faultproxy.NoFaults with one change.
func faults(change func(*faultproxy.Faults)) faultproxy.Faults {
	f := faultproxy.NoFaults()
	change(&f)
	return f
}

// contradiction is the test oracle: it compares a failed request's verdict with the number
// of times that the request ran, and returns what is wrong, or "".
func contradiction(v verdict.Verdict, runs int) string {
	switch {
	case runs > 1:
		return fmt.Sprintf("the request ran %d times", runs)
	case v == verdict.NotRun && runs > 0:
		return "the verdict is not-run, but the request ran"
	case v == verdict.Ran && runs == 0:
		return "the verdict is ran, but the request didn't run"
	}
	return ""
}

// plainClient is a deliberately broken client for testing the oracle: an http.Client with a
// rewindable body and the caller's Idempotency-Key, which takes every connection error as
// proof that the request didn't run.
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

// verdictOf returns the verdict of err, or MayHaveRun if err has none, also if err is nil.
func verdictOf(err error) verdict.Verdict {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return verdict.MayHaveRun
}
