package streamversion

import (
	"slices"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/site"
)

// maxTables limits how many tables of routes are remembered. Where more changes come within historyMemory, streams
// are known by the versions that have served only if they are younger than the oldest table.
const maxTables = 32

// routes holds where the routes of the configurations that were in force have led. It isn't safe for concurrent
// use.
type routes struct {
	// since is since when all tables are known; zero before the first one.
	since time.Time
	// tables holds the tables, the present one last.
	tables []routeTable
}

type routeTable struct {
	routes []site.Route
	index  *site.RouteTable
	// until is when the table was replaced; zero for the present one.
	until time.Time
}

// observe takes the routes of a configuration that is in force from now on.
func (r *routes) observe(now time.Time, all []site.Route) {
	if r.since.IsZero() {
		r.since = now
	}
	relevant := relevantRoutes(all)
	if last := len(r.tables) - 1; last >= 0 {
		if slices.EqualFunc(r.tables[last].routes, relevant, equalRoutes) {
			return
		}
		r.tables[last].until = now
	}
	r.tables = append(r.tables, routeTable{routes: relevant, index: site.NewRouteTable(&site.Document{Routes: relevant})})
	r.forget(now)
}

// forget drops tables that were replaced long ago, and more if there are too many.
func (r *routes) forget(now time.Time) {
	for len(r.tables) > 1 && now.Sub(r.tables[0].until) > historyMemory {
		r.tables = r.tables[1:]
	}
	for len(r.tables) > maxTables {
		r.since = r.tables[0].until
		r.tables = r.tables[1:]
	}
}

// relevantRoutes returns what matters here of routes, so that the rest of a document isn't kept.
func relevantRoutes(all []site.Route) []site.Route {
	out := make([]site.Route, 0, len(all))
	for _, r := range all {
		out = append(out, site.Route{Host: r.Host, PathPrefix: r.PathPrefix, Targets: slices.Clone(r.Targets), TimeoutMillis: r.TimeoutMillis})
	}
	return out
}

func equalRoutes(a, b site.Route) bool {
	sameTargets := slices.EqualFunc(a.Targets, b.Targets, func(a, b site.RouteTarget) bool { return a.Service == b.Service })
	return sameTargets && a.Host == b.Host && a.PathPrefix == b.PathPrefix && a.TimeoutMillis == b.TimeoutMillis
}

// observed returns for how long the routes have been known.
func (r *routes) observed(now time.Time) time.Duration {
	if r.since.IsZero() {
		return 0
	}
	return now.Sub(r.since)
}

// changed reports whether a stream, in the time that it can have lived, can have begun at another service than the
// one that its requests go to now, or under a longer timeout.
func (r *routes) changed(now time.Time, stream *request.ResumedStream) bool {
	for _, table := range r.tables {
		if route := table.index.Find(stream.Host, stream.Path); route != nil && table.mayHaveBegun(now, stream, route) {
			return true
		}
	}
	return false
}

func (t *routeTable) mayHaveBegun(now time.Time, stream *request.ResumedStream, route *site.Route) bool {
	timeout := time.Duration(route.TimeoutMillis) * time.Millisecond
	longer := max(0, timeout-stream.Timeout)
	// A longer timeout counts twice in the life of a stream: for the request, and for the wait since.
	life := stream.Life + 2*longer
	if !t.until.IsZero() && now.Sub(t.until) > life {
		return false
	}
	elsewhere := func(target site.RouteTarget) bool { return target.Service != stream.Service }
	return longer > 0 || slices.ContainsFunc(route.Targets, elsewhere)
}
