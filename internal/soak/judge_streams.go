package soak

import (
	"slices"
	"strings"
)

// streamEvent is one event of the answer to a request.
type streamEvent struct {
	request string
	number  int64
}

// EventSent records that a server with the given software version is about to send an event.
func (j *Judge) EventSent(request string, number int64, version string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := streamEvent{request: request, number: number}
	if !slices.Contains(j.eventVersions[e], version) {
		j.eventVersions[e] = append(j.eventVersions[e], version)
	}
}

// eventCount returns how many whole events of a stream a request has brought.
func (r Request) eventCount() int64 { return int64(strings.Count(r.Answer.Body, "\n\n")) }

// StreamEnded checks that the events which a caller has of a stream, by one request or several, can all be
// of one software version. Two servers may have sent the same event, if the caller didn't get it from the
// first.
func (j *Judge) StreamEnded(tries []Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var common []string
	for _, r := range tries {
		for n := range r.eventCount() {
			versions := j.eventVersions[streamEvent{request: r.ID, number: r.From + n}]
			if common == nil {
				common = slices.Clone(versions)
			}
			common = slices.DeleteFunc(common, func(v string) bool { return !slices.Contains(versions, v) })
			if len(common) == 0 {
				j.addViolation(OneVersion, r.Ended, "stream %s holds events of several versions, seen at event %d of request %s", tries[0].ID, r.From+n, r.ID)
				return
			}
		}
	}
}
