package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"limpethub/internal/verdict"
)

// crashingSubject is what crashes servers: a part of prompts, or a request with a path. One of the two is
// empty.
type crashingSubject struct{ part, path string }

// crashRecord is what is known of a crashingSubject.
type crashRecord struct {
	crashes int
	// boundFrom is when it must be kept away from servers, but for limits.CrashLag; zero before.
	boundFrom time.Duration
	late      int
}

// Crashed records that a server ended because of a subject.
func (j *Judge) Crashed(subject crashingSubject, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.crashRecord(subject)
	c.crashes++
	if c.crashes == subject.crashesBeforeBound() {
		c.boundFrom = at
	}
}

// crashesBeforeBound returns how many servers may end with a subject before it must be kept away from
// them.
func (s crashingSubject) crashesBeforeBound() int {
	if s.path != "" {
		return 3
	}
	return 5
}

// crashRecord returns the record of a subject. The lock must be held.
func (j *Judge) crashRecord(subject crashingSubject) *crashRecord {
	c := j.crashing[subject]
	if c == nil {
		c = &crashRecord{}
		j.crashing[subject] = c
	}
	return c
}

// CrashingArrived records that a request which crashes servers reached one.
func (j *Judge) CrashingArrived(subject crashingSubject, server, request string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.crashRecord(subject)
	if c.boundFrom == 0 || at <= c.boundFrom+j.limits.CrashLag || !j.runsForLong(j.sentTo[request], at) {
		return
	}
	if c.late++; c.late <= j.limits.LateCrashes {
		return
	}
	promise := CrashingPrompts
	if subject.path != "" {
		promise = CrashingRequests
	}
	j.addViolation(promise, at, "server %s got a request with %+v, the %dth later than %s after the crash before which it must be found, %d ended in all", server, subject, c.late, j.limits.CrashLag, c.crashes)
}

// runsForLong reports whether a process has run without a pause for limits.CrashLag. Before, it may not
// know yet what the others have found out, or nobody may, if all have just started.
func (j *Judge) runsForLong(p processID, at time.Duration) bool {
	for _, e := range j.faults {
		if interruptsInstance(p.instance)(e) && e.At <= at && at < e.At+e.For+j.limits.CrashLag {
			return false
		}
	}
	return at >= j.startTimes[p]+j.limits.CrashLag
}

// SendingCrashing records that a caller is about to send a request that crashes servers.
func (j *Judge) SendingCrashing(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashingRequests[id] = true
}

// RefusedForCrashes records that an instance refused or ended a request because servers ended with its
// prompt, or under it.
func (j *Judge) RefusedForCrashes(id, why string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.crashingRequests[id] {
		j.addViolation(SoundPrompts, at, "request %s, which crashes no server, was refused for crashes: %s", id, why)
	}
}

// checkRefusedForCrashes passes the requests that instances refused because servers ended to the judge.
// Only their logs tell the reason.
func checkRefusedForCrashes(dir string, judge *Judge, at time.Duration) error {
	logs, err := filepath.Glob(filepath.Join(dir, "instance-*-start-*.log"))
	if err != nil {
		return fmt.Errorf("soak: find logs: %w", err)
	}
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("soak: read log: %w", err)
		}
		for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
			var line struct {
				Request string       `json:"request"`
				Code    verdict.Code `json:"code"`
				Error   string       `json:"error"`
			}
			// A process that was killed may have left half a line.
			isForCrashes := json.Unmarshal(lines.Bytes(), &line) == nil &&
				(line.Code == verdict.CodePromptQuarantined || line.Code == verdict.CodeRequestQuarantined)
			if isForCrashes {
				judge.RefusedForCrashes(line.Request, line.Error, at)
			}
		}
	}
	return nil
}

// limitedServer is a server that has named a limit.
type limitedServer struct {
	perSecond float64
	// from is when the limit must be kept.
	from time.Duration
	// toldAt holds when each process passed on an answer with the limit first.
	toldAt   map[processID]time.Duration
	arrivals []time.Duration
	// calls are the arrivals that are no requests of callers: orders, requests for reports, and probes.
	calls []time.Duration
}

// LimitNamed records that a server's answers name a limit from now on.
func (j *Judge) LimitNamed(server string, perSecond float64, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.limited[server] = &limitedServer{perSecond: perSecond, from: at + j.limits.LimitLag, toldAt: map[processID]time.Duration{}}
}

// LimitEnded records that a server's answers name no limit any more, or that it has ended.
func (j *Judge) LimitEnded(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.limited, server)
}

// checkTold records that a process has passed on an answer with a limit. The lock must be held.
func (j *Judge) checkTold(r Request) {
	l := j.limited[r.Answer.Server]
	if l == nil || !r.Answer.Limited {
		return
	}
	if _, told := l.toldAt[r.processID()]; !told {
		l.toldAt[r.processID()] = r.Ended
	}
}

// Arrived records that something arrived at a server: a request, or an order or a request for a
// report, which have no id.
func (j *Judge) Arrived(server, id string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := j.limited[server]
	if l == nil || at < l.from || id != "" && !j.isBound(l, j.sentTo[id], at) {
		return
	}
	l.arrivals = append(dropBefore(l.arrivals, at-j.limits.LimitWindow), at)
	l.calls = dropBefore(l.calls, at-j.limits.LimitWindow)
	if id == "" {
		l.calls = append(l.calls, at)
	}
	allowed := int(j.limits.LimitFactor*l.perSecond*j.limits.LimitWindow.Seconds()) + j.limits.LimitSlack
	if len(l.arrivals) > allowed {
		j.addViolation(ServerLimit, at, "server %s, which takes %v a second, got %d requests within %s, %d are allowed; %d of them are probes, reports and orders", server, l.perSecond, len(l.arrivals), j.limits.LimitWindow, allowed, len(l.calls))
	}
}

// isBound reports whether a process is bound by a limit: it has passed on an answer with it
// LimitToldLag ago or earlier, and its instance wasn't paused or cut off.
func (j *Judge) isBound(l *limitedServer, p processID, at time.Duration) bool {
	toldAt, told := l.toldAt[p]
	interrupted := j.excusedUntil(at, func(e Event) bool {
		return interruptsInstance(p.instance)(e) || scopeOf(e.Kind) == onPeers && e.Target == p.instance
	})
	return told && at >= toldAt+j.limits.LimitToldLag && at > interrupted
}
