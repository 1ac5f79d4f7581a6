package soak

import (
	"net/http"
	"strings"
	"time"

	"limpethub/platform/standin"
)

// Ordered records an order that a server accepted and checks the promises for it. holds lists
// all models and adapters that the server holds afterwards.
func (j *Judge) Ordered(server string, order standin.Order, holds []string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkMemory(server, holds, at)
	j.checkOrderSource(server, order, at)
}

// checkMemory checks that the models and adapters in holds fit on the server. The references of
// adapters contain a slash.
func (j *Judge) checkMemory(server string, holds []string, at time.Duration) {
	memory, adapters := 0, 0
	for _, ref := range holds {
		if strings.Contains(ref, "/") {
			memory, adapters = memory+1, adapters+1
			continue
		}
		memory += j.limits.ModelMB
	}
	if memory > j.limits.MemoryMB || adapters > j.limits.AdapterSlots {
		j.addViolation(ServerCapacity, at, "server %s holds %v: %d of %d MB, %d of %d adapters", server, holds, memory, j.limits.MemoryMB, adapters, j.limits.AdapterSlots)
	}
}

// checkOrderSource checks that each fencing number is used by one lease holder, and that no order
// with an old number arrives more than OrderLag after the first order with the highest number.
func (j *Judge) checkOrderSource(server string, order standin.Order, at time.Duration) {
	h, known := j.holders[order.Fence]
	if !known {
		h = holder{name: order.Holder, firstOrderAt: at}
		j.holders[order.Fence] = h
	}
	if h.name != order.Holder {
		j.addViolation(OneLeaseHolder, at, "%s and %s both send orders with fencing number %d, the latter to server %s", h.name, order.Holder, order.Fence, server)
	}
	j.highestFence = max(j.highestFence, order.Fence)
	if newest := j.holders[j.highestFence]; order.Fence < j.highestFence && at > newest.firstOrderAt+j.limits.OrderLag {
		j.addViolation(OneLeaseHolder, at, "%s sent an order for %s to server %s with fencing number %d, %s after the first order of %s with fencing number %d",
			order.Holder, order.Ref(), server, order.Fence, at-newest.firstOrderAt, newest.name, j.highestFence)
	}
}

// ServerLeaving records that a server announced that it is leaving.
func (j *Judge) ServerLeaving(server string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leavingSince[server] = at
}

// ServerRestarting records that a stopped server is about to be started again. If it was leaving,
// it no longer is.
func (j *Judge) ServerRestarting(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.leavingSince, server)
}

// checkLeaving checks that a leaving server gets no request more than LeaveLag after its
// announcement, or after the last fault that excuses a delay.
func (j *Judge) checkLeaving(server, id string, at time.Duration) {
	since, leaving := j.leavingSince[server]
	latest := max(since, j.excusedUntil(at, inScopes(onStore, onInstance, onPeers))) + j.limits.LeaveLag
	if leaving && at > latest {
		j.addViolation(Leaving, at, "server %s got request %s %s after it announced that it is leaving", server, id, at-since)
	}
}

// Written records that an operator wrote a configuration.
func (j *Judge) Written(version int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.written = append(j.written, writtenVersion{version, at})
}

// Started records that a process was started.
func (j *Judge) Started(instance, startNumber int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.startTimes[processID{instance, startNumber}] = at
}

// Stopping records that a process was asked to stop.
func (j *Judge) Stopping(instance, startNumber int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if p := (processID{instance, startNumber}); j.stops[p].requestedAt == 0 { // A later request to stop doesn't count.
		j.stops[p] = plannedStop{requestedAt: at}
	}
}

// Stopped records that a process that was asked to stop has ended, and checks how long it took.
func (j *Judge) Stopped(instance, startNumber int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := processID{instance, startNumber}
	s := j.stops[p]
	s.endedAt = at
	j.stops[p] = s
	if took := s.endedAt - s.requestedAt; took > j.limits.MaxStopTime && j.excusedUntil(s.endedAt, interruptsInstance(instance)) <= s.requestedAt {
		j.addViolation(PlannedStop, at, "instance %d took %s to stop", instance, took)
	}
}

// checkProbe checks the answer to a probe: 200 if the configuration is in force, 404 if not.
func (j *Judge) checkProbe(r Request) {
	switch {
	case r.Answer.Err != nil: // A failed probe says nothing about the configuration.
	case r.Answer.Status == http.StatusOK:
		j.checkInForce(r)
	case r.Answer.Status == http.StatusNotFound:
		j.checkNotInForce(r)
	}
}

// checkInForce checks that no newer configuration was in force at this process before.
func (j *Judge) checkInForce(r Request) {
	p := r.processID()
	for _, v := range j.observed[p] {
		if v.version > r.Version && v.observedBy <= r.Began {
			j.addViolation(VersionNeverGoesBack, r.Ended, "instance %d served version %d after version %d", r.Instance, r.Version, v.version)
		}
	}
	j.observed[p] = append(j.observed[p], observedVersion{r.Version, r.Ended})
}

// checkNotInForce checks that the newest configuration neither went out of force nor is late.
func (j *Judge) checkNotInForce(r Request) {
	newest := j.newestVersion(r.Ended)
	for _, v := range j.observed[r.processID()] {
		if v.version == r.Version && v.observedBy <= r.Began && newest.version == r.Version {
			j.addViolation(VersionNeverGoesBack, r.Ended, "instance %d no longer serves version %d", r.Instance, r.Version)
		}
	}
	excused := j.excusedUntil(r.Ended, delaysConfiguration(r.Instance))
	if r.Version != newest.version || r.Began < max(newest.writtenAt, j.startTimes[r.processID()], excused)+j.limits.InForceLag {
		return
	}
	j.addViolation(InForce, r.Ended, "instance %d does not serve version %d, written at %s", r.Instance, r.Version, newest.writtenAt)
}

// newestVersion returns the newest configuration among those written by the given time.
func (j *Judge) newestVersion(by time.Duration) (out writtenVersion) {
	for _, v := range j.written {
		if v.writtenAt <= by && v.version > out.version {
			out = v
		}
	}
	return out
}
