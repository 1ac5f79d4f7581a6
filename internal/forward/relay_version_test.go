package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// fixedOrigins is a StreamVersions that knows one origin, or none if err is set.
type fixedOrigins struct {
	origin request.Origin
	err    error
	begun  map[request.ID]request.Origin
	// asked is the stream that was asked for last.
	asked request.ResumedStream
}

func (f *fixedOrigins) Began(id request.ID, origin request.Origin, _ time.Duration) {
	f.begun[id] = origin
}

func (f *fixedOrigins) OriginOf(_ context.Context, stream request.ResumedStream) (request.Origin, error) {
	f.asked = stream
	return f.origin, f.err
}

func resumingCall(id, resumes request.ID) engine.Call {
	call := relayCall(true, 3)
	call.Request.ID, call.Request.Resumes = id, resumes
	call.Request.FirstEventBy = call.Request.Deadline
	return call
}

// TestStreamIsKnownByTheRequestThatBeganIt guards against a stream that is taken up twice and whose
// version is lost, because it is known by the id of a later try.
func TestStreamIsKnownByTheRequestThatBeganIt(t *testing.T) {
	r, _ := newTestRelay(t, serverReply{status: 200, events: []int64{0, 1}}, serverReply{status: 200, events: []int64{2, 3}})
	want := request.Origin{Service: "svc", SoftwareVersion: testVersion}
	origins := &fixedOrigins{origin: want, begun: map[request.ID]request.Origin{}}
	r.options.Streams = origins
	if _, err := r.Relay(t.Context(), resumingCall("first", ""), noEventID, &recordingCaller{}); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Relay(t.Context(), resumingCall("second", "first"), 1, &recordingCaller{}); err != nil {
		t.Fatal(err)
	}
	if len(origins.begun) != 1 || origins.begun["first"] != want {
		t.Errorf("recorded %v, want %v for the first request alone", origins.begun, want)
	}
}

// TestStreamThatCantGoOnIsRefusedWithoutARun guards against streams that wait, or are sent to a server,
// although nobody knows their version, the version has no server, or the route goes elsewhere.
func TestStreamThatCantGoOnIsRefusedWithoutARun(t *testing.T) {
	unknown := verdict.Refused(verdict.CodeVersionUnavailable, "nobody knows")
	for name, origins := range map[string]*fixedOrigins{
		"version unknown":        {err: unknown},
		"version without server": {origin: request.Origin{Service: "svc", SoftwareVersion: "other"}},
		"route goes elsewhere":   {origin: request.Origin{Service: "other", SoftwareVersion: testVersion}},
	} {
		r, plane := newTestRelay(t, serverReply{status: 200, events: []int64{2, 3}})
		r.options.Streams = origins
		start := time.Now()
		_, err := r.Relay(t.Context(), resumingCall("q", "first"), 1, &recordingCaller{})
		if e := verdictOf(t, err); e.Code != verdict.CodeVersionUnavailable || e.Verdict != verdict.NotRun {
			t.Errorf("%s: got %v, want version_unavailable, not run", name, e)
		}
		if took := time.Since(start); len(plane.replies) != 1 || took > 500*time.Millisecond {
			t.Errorf("%s: a server got the request, or it waited %v", name, took)
		}
	}
}

// restartingServers is a Directory that knows another process of each server each time.
type restartingServers struct{ starts *int64 }

func (d restartingServers) Server(name string) (engine.Server, bool) {
	*d.starts++
	return engine.Server{Name: name, StartMillis: *d.starts, SoftwareVersion: testVersion}, true
}

// TestStreamOfAServerThatRestartedGoesOnNowhere guards against a stream that is taken for one of the
// version that a server had before it started again under its id.
func TestStreamOfAServerThatRestartedGoesOnNowhere(t *testing.T) {
	r, plane := newTestRelay(t, serverReply{status: 200, events: []int64{0, 1}, endErr: io.ErrUnexpectedEOF}, serverReply{status: 200, events: []int64{2, 3}})
	r.options.Directory = restartingServers{starts: new(int64)}
	_, err := r.Relay(t.Context(), resumingCall("q", ""), noEventID, &recordingCaller{})
	if e := verdictOf(t, err); e.Code != verdict.CodeStreamCut {
		t.Errorf("got %v, want a stream that was cut", e)
	}
	if len(plane.replies) != 1 {
		t.Error("the stream went on at another server")
	}
}

// TestRouteOfAResumedStreamIsTold guards against a stream whose route has changed and isn't found by those who know
// the routes of before.
func TestRouteOfAResumedStreamIsTold(t *testing.T) {
	r, _ := newTestRelay(t, serverReply{status: 200, events: []int64{2, 3}})
	origins := &fixedOrigins{origin: request.Origin{Service: "svc", SoftwareVersion: testVersion}, begun: map[request.ID]request.Origin{}}
	r.options.Streams = origins
	call := resumingCall("second", "first")
	call.Path, call.Header = "/s/x?q=1", http.Header{"Host": {"h"}}
	call.Request.StreamLife, call.Request.RouteTimeout = 9*time.Second, 2*time.Second
	if _, err := r.Relay(t.Context(), call, 1, &recordingCaller{}); err != nil {
		t.Fatal(err)
	}
	want := request.ResumedStream{ID: "first", Named: true, Service: "svc", Life: 9 * time.Second, Timeout: 2 * time.Second, Host: "h", Path: "/s/x"}
	if origins.asked != want {
		t.Errorf("asked for %+v, want %+v", origins.asked, want)
	}
}

// upgradedServers is a Directory that knows another process of each server, with another version, from the given call
// on.
type upgradedServers struct{ callsBefore *int }

func (d upgradedServers) Server(name string) (engine.Server, bool) {
	if *d.callsBefore--; *d.callsBefore >= 0 {
		return engine.Server{Name: name, StartMillis: 1, SoftwareVersion: testVersion}, true
	}
	return engine.Server{Name: name, StartMillis: 2, SoftwareVersion: "other"}, true
}

// TestStreamIsNotResumedAtAServerThatWasUpgradedMeanwhile guards against a stream that goes on at another version since
// the server that was chosen for it started again under its id, before the request was sent or before the answer came.
func TestStreamIsNotResumedAtAServerThatWasUpgradedMeanwhile(t *testing.T) {
	for name, c := range map[string]struct {
		callsBefore int
		verdict     verdict.Verdict
	}{
		"before it was sent":     {0, verdict.NotRun},
		"before the answer came": {1, verdict.MayHaveRun},
	} {
		r, plane := newTestRelay(t, serverReply{status: 200, events: []int64{2, 3}})
		r.options.Streams = &fixedOrigins{origin: request.Origin{Service: "svc", SoftwareVersion: testVersion}, begun: map[request.ID]request.Origin{}}
		r.options.Directory = upgradedServers{callsBefore: &c.callsBefore}
		caller := &recordingCaller{}
		result, err := r.Relay(t.Context(), resumingCall("q", "first"), 1, caller)
		if e := verdictOf(t, err); e.Verdict != c.verdict || result.Events > 0 {
			t.Errorf("%s: got %v and %d events, want verdict %v and none", name, e, result.Events, c.verdict)
		}
		if ran := len(plane.replies) == 0; ran != (c.verdict != verdict.NotRun) {
			t.Errorf("%s: the server got the request: %v", name, ran)
		}
	}
}
