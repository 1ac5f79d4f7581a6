package forward

import (
	"context"
	"slices"
	"strings"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// StreamVersions knows, for the whole fleet, which software version began a stream. See package
// streamversion.
type StreamVersions interface {
	// Began records what began a stream, whose caller waits for so long.
	Began(id request.ID, origin request.Origin, waits time.Duration)
	// OriginOf returns what began a stream. The error is a *verdict.Error with NotRun.
	OriginOf(ctx context.Context, stream request.ResumedStream) (request.Origin, error)
}

// findOrigin finds out what began the stream that a request goes on with, if it does.
func (r *Relay) findOrigin(ctx context.Context, relayed *relayedRequest) error {
	q := &relayed.call.Request
	if q.PassedOnBy != "" {
		// The instance that passed the request on has found out.
		relayed.began, relayed.softwareVersion = q.SoftwareVersion != "", q.SoftwareVersion
		return nil
	}
	isStream := !q.FirstEventBy.IsZero()
	if r.options.Streams == nil || relayed.lastEventID == noEventID || !isStream {
		return nil
	}
	origin, err := r.options.Streams.OriginOf(ctx, resumedStream(&relayed.call))
	if err != nil {
		return r.errorMapper.verdictError(ctx, err)
	}
	if origin.Service != q.Service && !slices.Contains(q.Services, origin.Service) {
		return verdict.Refused(verdict.CodeVersionUnavailable, "the route no longer goes to service %s, which began the stream", origin.Service)
	}
	relayed.began, relayed.softwareVersion = true, origin.SoftwareVersion
	q.Service, q.SoftwareVersion = origin.Service, origin.SoftwareVersion
	return nil
}

// resumedStream describes the stream that a request goes on with.
func resumedStream(call *engine.Call) request.ResumedStream {
	q := &call.Request
	path, _, _ := strings.Cut(call.Path, "?")
	stream := request.ResumedStream{
		ID: q.Stream(), Named: q.Resumes != "", Service: q.Service, Life: q.StreamLife, Timeout: q.RouteTimeout,
		Host: call.Header.Get("Host"), Path: path,
	}
	if len(q.Services) > 0 {
		stream.Service = ""
	}
	return stream
}

// beginStream records, before the caller gets the first event, which software version began the stream.
// From then on only servers with that version go on with it.
func (r *Relay) beginStream(relayed *relayedRequest) {
	if !relayed.began {
		relayed.began, relayed.softwareVersion = true, r.versionNow(relayed.server)
		relayed.call.Request.SoftwareVersion = relayed.softwareVersion
	}
	q := &relayed.call.Request
	if r.options.Streams != nil && relayed.result.Events == 0 && q.Idempotent && q.PassedOnBy == "" {
		r.options.Streams.Began(q.Stream(), request.Origin{Service: q.Service, SoftwareVersion: relayed.softwareVersion}, q.Deadline.Sub(r.options.Now()))
	}
}

// versionNow returns the software version of a server; empty if another process has the server's name by
// now, so that it isn't known which of the two the answer comes from.
func (r *Relay) versionNow(server engine.Server) string {
	if current, ok := r.options.Directory.Server(server.Name); ok && current.StartMillis != server.StartMillis {
		return ""
	}
	return server.SoftwareVersion
}

// chosenServer returns the server that was chosen for a request, as it is now. The error is for one that is gone, or
// has another version by now than the stream needs that the request goes on with.
func (r *Relay) chosenServer(relayed *relayedRequest, name string) (engine.Server, error) {
	server, ok := r.options.Directory.Server(name)
	if !ok {
		return server, verdict.Refused(verdict.CodeNoServer, "server %s is gone", name)
	}
	if needed := relayed.call.Request.SoftwareVersion; needed != "" && server.SoftwareVersion != needed {
		return server, verdict.Refused(verdict.CodeVersionUnavailable, "server %s has started again with another software version", name)
	}
	return server, nil
}

// isOtherVersion reports whether an answer that begins comes from another version than the one that began the stream
// which it goes on with, or may do so since another process has the server's name by now.
func (r *Relay) isOtherVersion(relayed *relayedRequest) bool {
	if !relayed.began || relayed.softwareVersion == "" {
		return false
	}
	if relayed.result.Peer != "" {
		// The peer may have learned earlier or later than this instance which process has the name.
		return relayed.server.SoftwareVersion != relayed.softwareVersion
	}
	return r.versionNow(relayed.server) != relayed.softwareVersion
}
