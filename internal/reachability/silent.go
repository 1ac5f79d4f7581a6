package reachability

import (
	"time"

	"limpethub/internal/engine"
)

const (
	// firstRetry is the time from a failed attempt to connect to a server until it is probed. It doubles with each
	// probe without an answer, up to maxRetry.
	firstRetry = 250 * time.Millisecond
	maxRetry   = 2 * time.Second
	// recentAnswer is how long ago a server may have sent something to count as alive although no connection to it
	// could be opened: it may only have no room for another one.
	recentAnswer = time.Second
	// maxRetriesPerTick limits how many silent servers are probed at the same time.
	maxRetriesPerTick = 8
)

// silentServer is a server that takes no connection and sends nothing.
type silentServer struct {
	server  engine.Server
	probeAt time.Time
	retry   time.Duration
}

// silentServers are the servers that get no requests until a probe is answered or something arrives from them. It isn't
// safe for concurrent use.
type silentServers map[string]*silentServer

// connectFailed records that a server couldn't be connected to, and reports whether it counts as silent from now on.
func (s silentServers) connectFailed(now time.Time, server engine.Server, heardAt time.Time) bool {
	if s[server.Name] != nil || now.Sub(heardAt) <= recentAnswer {
		return false
	}
	s[server.Name] = &silentServer{server: server, probeAt: now.Add(firstRetry), retry: firstRetry}
	return true
}

// heard records that something arrived from a server, and reports whether it had been silent.
func (s silentServers) heard(name string) bool {
	_, wasSilent := s[name]
	delete(s, name)
	return wasSilent
}

// due returns the servers to probe now.
func (s silentServers) due(now time.Time) []engine.Server {
	var out []engine.Server
	for _, silent := range s {
		if len(out) == maxRetriesPerTick {
			break
		}
		if now.Before(silent.probeAt) {
			continue
		}
		silent.retry = min(2*silent.retry, maxRetry)
		silent.probeAt = now.Add(silent.retry)
		out = append(out, silent.server)
	}
	return out
}
