package soak

import (
	"net/http"
	"strings"
	"time"

	"limpethub/platform/standin"
)

// Ordered notes an order that a server accepted, with all that it then holds.
func (j *Judge) Ordered(server string, order standin.Order, holds []string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkRoom(server, holds, at)
	j.checkOrderer(server, order, at)
}

func (j *Judge) checkRoom(server string, holds []string, at time.Duration) {
	memory, adapters := 0, 0
	for _, ref := range holds {
		if strings.Contains(ref, "/") {
			memory, adapters = memory+1, adapters+1
			continue
		}
		memory += j.limits.SizeMB
	}
	if memory > j.limits.MemoryMB || adapters > j.limits.AdapterSlots {
		j.broken(Room, at, "%s holds %v: %d of %d MB, %d of %d adapters", server, holds, memory, j.limits.MemoryMB, adapters, j.limits.AdapterSlots)
	}
}

func (j *Judge) checkOrderer(server string, order standin.Order, at time.Duration) {
	h, known := j.fences[order.Fence]
	if !known {
		h = holder{name: order.Holder, since: at}
		j.fences[order.Fence] = h
	}
	if h.name != order.Holder {
		j.broken(OneOrderer, at, "%s and %s both order under %d, on %s", h.name, order.Holder, order.Fence, server)
	}
	j.highest = max(j.highest, order.Fence)
	if newest := j.fences[j.highest]; order.Fence < j.highest && at > newest.since+j.limits.OrderLag {
		j.broken(OneOrderer, at, "%s orders %s on %s under %d, %s after %s began to under %d",
			order.Holder, order.Ref(), server, order.Fence, at-newest.since, newest.name, j.highest)
	}
}

// ServerLeaves notes that a server announced that it leaves, and ServerBack that it is
// there anew.
func (j *Judge) ServerLeaves(server string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaving[server] = at
}

// ServerBack notes that a server that left announced itself anew.
func (j *Judge) ServerBack(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.leaving, server)
}

func (j *Judge) lateArrival(server, id string, at time.Duration) {
	since, leaves := j.leaving[server]
	due := max(since, j.calmSince(at, hits(onStore, onInstance, onPeers))) + j.limits.LeaveLag
	if leaves && at > due {
		j.broken(Leaving, at, "%s got request %s %s after it announced that it leaves", server, id, at-since)
	}
}

// Written notes that the operators' configuration was accepted.
func (j *Judge) Written(number int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.written = append(j.written, version{number, at})
}

// Started notes that a process is there.
func (j *Judge) Started(instance, start int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts[process{instance, start}] = at
}

// Stopping notes that a process was asked to stop, and Stopped that it ended.
func (j *Judge) Stopping(instance, start int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if p := (process{instance, start}); j.stops[p].asked == 0 { // It may be asked again.
		j.stops[p] = stop{asked: at}
	}
}

// Stopped notes that a process that was asked to stop has ended.
func (j *Judge) Stopped(instance, start int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := process{instance, start}
	s := j.stops[p]
	s.ended = at
	j.stops[p] = s
	if took := s.ended - s.asked; took > j.limits.StopTime && j.calmSince(s.ended, interrupts(instance)) <= s.asked {
		j.broken(PlannedStop, at, "instance %d took %s to stop", instance, took)
	}
}

// probed takes the answer to a question for one configuration.
func (j *Judge) probed(r Request) {
	switch {
	case r.Answer.Err != nil:
	case r.Answer.Status == http.StatusOK:
		j.sawInForce(r)
	case r.Answer.Status == http.StatusNotFound:
		j.sawNotInForce(r)
	}
}

func (j *Judge) sawInForce(r Request) {
	p := r.process()
	for _, s := range j.inForce[p] {
		if s.version > r.Version && s.until <= r.Began {
			j.broken(NeverBack, r.Ended, "instance %d served version %d after version %d", r.Instance, r.Version, s.version)
		}
	}
	j.inForce[p] = append(j.inForce[p], sighting{r.Version, r.Ended})
}

func (j *Judge) sawNotInForce(r Request) {
	newest := j.newest(r.Ended)
	for _, s := range j.inForce[r.process()] {
		if s.version == r.Version && s.until <= r.Began && newest.number == r.Version {
			j.broken(NeverBack, r.Ended, "instance %d no longer serves version %d", r.Instance, r.Version)
		}
	}
	calm := j.calmSince(r.Ended, hits(onStore, onInstance, onPeers))
	if r.Version != newest.number || r.Began < max(newest.at, j.starts[r.process()], calm)+j.limits.InForceLag {
		return
	}
	j.broken(InForce, r.Ended, "instance %d lacks version %d, written at %s", r.Instance, r.Version, newest.at)
}

// newest is the newest configuration that was written by a moment.
func (j *Judge) newest(by time.Duration) (out version) {
	for _, v := range j.written {
		if v.at <= by && v.number > out.number {
			out = v
		}
	}
	return out
}
