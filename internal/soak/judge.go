package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Promise names a property of the system that a Judge checks.
type Promise string

// Promises from the documentation of the platform and of this project. In their texts, "places"
// are adapter slots and "repeats" are retries.
const (
	WholeAnswers         Promise = "answers are whole and the caller's own"
	RefusedNotRun        Promise = "what is refused has not run"
	AtMostOnce           Promise = "non-idempotent requests run at most once"
	StreamOrder          Promise = "streams come in order, each event once"
	ServerCapacity       Promise = "no server's memory or places are overcommitted"
	OneLeaseHolder       Promise = "one instance at a time gives orders"
	Leaving              Promise = "a leaving server gets nothing new"
	PlannedStop          Promise = "a planned stop cuts nothing and ends in time"
	InForce              Promise = "a configuration is in force in time"
	VersionNeverGoesBack Promise = "a configuration never goes back"
	RetryBudget          Promise = "repeats stay within their budget"
	Recovery             Promise = "all is served again after the last fault"
	StaysUp              Promise = "no process ends by itself"
	CrashingPrompts      Promise = "prompts that crash servers are kept away from them"
	CrashingRequests     Promise = "requests that crash servers and come again are kept away from them"
	SoundPrompts         Promise = "others aren't"
	OneVersion           Promise = "a stream holds events of one software version"
	CutOffServed         Promise = "callers of instances that are cut off from all servers are served"
	ServerLimit          Promise = "a server gets no more than the limit that it names"
)

// Violation is one case in which a promise was broken.
type Violation struct {
	Promise Promise       `json:"promise"`
	At      time.Duration `json:"at"`
	What    string        `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: broken at %s: %s", v.Promise, v.At, v.What)
}

// Limits holds the bounds that the promises refer to.
type Limits struct {
	// MemoryMB and AdapterSlots are the memory and the adapter slots of each engine. ModelMB
	// is the memory of a model; an adapter takes 1 MB.
	MemoryMB, ModelMB, AdapterSlots int
	// OrderLag is how long after the first order of a new lease holder an order of an earlier
	// one may still arrive.
	OrderLag time.Duration
	// LeaveLag is how long a leaving server may still get requests after it announced that it
	// is leaving. InForceLag is how long a written configuration may take to be in force.
	LeaveLag, InForceLag time.Duration
	// MaxStopTime is how long a planned stop may take.
	MaxStopTime time.Duration
	// LateCrashes is how many requests that crash servers may reach them later than CrashLag after the
	// crash by which they must have been found: the fifth with a part of prompts, the third under a
	// request that comes again.
	LateCrashes int
	CrashLag    time.Duration
	// From LimitLag after a server first named a limit, it may get LimitFactor times what the limit
	// allows, and LimitSlack more, within LimitWindow.
	LimitFactor           float64
	LimitSlack            int
	LimitLag, LimitWindow time.Duration
	// LimitToldLag is how long after it has passed on an answer with the limit a process is bound.
	LimitToldLag time.Duration
	// Within RetryWindow, there may be at most RetryRatio times as many retries as requests,
	// plus RetrySlack.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
}

// Judge checks promises against what callers and servers observe during a run. All its times
// count from the start of the run. It is safe for concurrent use.
type Judge struct {
	limits Limits

	mu         sync.Mutex
	violations []Violation
	// The times of faults count from the start of the schedule, and from the start of the run
	// after setScheduleStart.
	faults []Event

	// runTimes holds when each request began to run, by request id. nonIdempotent holds whether
	// the request must run at most once. refused holds the non-idempotent requests that an
	// instance refused.
	runTimes      map[string][]time.Duration
	nonIdempotent map[string]bool
	refused       map[string]Request
	// arrivals counts the servers' reports that a request began to run, by request id; it equals
	// the number of its runTimes. retryTimes holds the times of all reports but the first of each
	// request, and requestTimes when callers sent requests. Both hold the oldest time first; each
	// retry drops the times before its RetryWindow.
	arrivals     map[string]int
	retryTimes   []time.Duration
	requestTimes []time.Duration

	// holders holds, by fencing number, the sender of the first accepted order.
	holders      map[uint64]holder
	highestFence uint64

	// leavingSince holds, by server, when it announced that it is leaving.
	leavingSince map[string]time.Duration
	written      []writtenVersion
	observed     map[processID][]observedVersion
	stops        map[processID]plannedStop
	startTimes   map[processID]time.Duration
	// crashing holds what is known of each part of prompts and each request that crashes servers, and
	// limited the limits of servers.
	crashing map[crashingSubject]*crashRecord
	// crashingRequests holds the ids of the requests that crash servers.
	crashingRequests map[string]bool
	limited          map[string]*limitedServer
	// eventVersions holds which versions of servers' software sent each event of a stream.
	eventVersions map[streamEvent][]string
	// sentTo holds the process that got each request.
	sentTo map[string]processID
	// instances is the number of instances, and cuts holds first tries while some are cut off from all servers,
	// by the number of the fault.
	instances int
	cuts      map[int]cutTally
}

// holder is a lease holder, with the time of the first accepted order under its fencing number.
type holder struct {
	name         string
	firstOrderAt time.Duration
}

// writtenVersion is a configuration that an operator wrote.
type writtenVersion struct {
	version   int
	writtenAt time.Duration
}

// processID identifies one process of an instance by its start number: 1 for the first process
// of the instance, 2 for the next.
type processID struct{ instance, startNumber int }

// observedVersion is a configuration that a probe found in force. observedBy is the time of
// the probe's answer.
type observedVersion struct {
	version    int
	observedBy time.Duration
}

// plannedStop is a requested stop of a process. endedAt is 0 until the process has ended.
type plannedStop struct{ requestedAt, endedAt time.Duration }

// NewJudge returns a judge of a run with the given faults. Their times count from the start of
// the schedule.
func NewJudge(limits Limits, faults []Event) *Judge {
	return &Judge{
		limits: limits, faults: faults,
		runTimes: map[string][]time.Duration{}, nonIdempotent: map[string]bool{}, refused: map[string]Request{},
		arrivals: map[string]int{}, holders: map[uint64]holder{}, leavingSince: map[string]time.Duration{},
		observed: map[processID][]observedVersion{}, stops: map[processID]plannedStop{}, startTimes: map[processID]time.Duration{},
		crashing: map[crashingSubject]*crashRecord{}, crashingRequests: map[string]bool{}, limited: map[string]*limitedServer{}, eventVersions: map[streamEvent][]string{}, sentTo: map[string]processID{},
		cuts: map[int]cutTally{},
	}
}

// setScheduleStart adds begin, the start of the schedule, to the times of all faults, so that they
// count from the start of the run as all other times do.
func (j *Judge) setScheduleStart(begin time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	shifted := make([]Event, len(j.faults))
	for n, e := range j.faults {
		e.At += begin
		shifted[n] = e
	}
	j.faults = shifted
}

// Violations returns the violations recorded so far.
func (j *Judge) Violations() []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Violation(nil), j.violations...)
}

// RecordViolation records a violation that was found outside the judge.
func (j *Judge) RecordViolation(p Promise, at time.Duration, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addViolation(p, at, format, args...)
}

// maxViolationsPerPromise bounds how many violations of a promise are recorded. The first ones
// are enough to find the cause.
const maxViolationsPerPromise = 20

func (j *Judge) addViolation(p Promise, at time.Duration, format string, args ...any) {
	n := 0
	for _, v := range j.violations {
		if v.Promise == p {
			n++
		}
	}
	if n < maxViolationsPerPromise {
		j.violations = append(j.violations, Violation{Promise: p, At: at, What: fmt.Sprintf(format, args...)})
	}
}

// faultMargin is the time after the end of a fault in which the judge still accepts late answers
// and cut connections as effects of the fault: a paused or new process has to catch up, and dead
// connections have to be detected.
const faultMargin = 4 * time.Second

// excusedUntil returns the time until which the effects of matching faults are accepted:
// faultMargin after the latest end of those that began before the given time. It is 0 if there
// are none.
func (j *Judge) excusedUntil(before time.Duration, matches func(Event) bool) (until time.Duration) {
	for _, e := range j.faults {
		if e.At < before && matches(e) {
			until = max(until, e.At+e.For+faultMargin)
		}
	}
	return until
}

// interruptsInstance returns a filter for the faults that pause or kill an instance.
func interruptsInstance(instance int) func(Event) bool {
	return func(e Event) bool {
		switch e.Kind {
		case PauseInstance, KillInstance:
			return e.Target == instance
		case KillMost:
			return e.Target != instance
		}
		return false
	}
}

// delaysConfiguration returns a filter for the faults that may delay a configuration at an instance:
// those of the whole store, and those of the instance's process and connections. Others may not,
// since an instance that reaches the store doesn't depend on any other one.
func delaysConfiguration(instance int) func(Event) bool {
	return func(e Event) bool {
		switch e.Kind {
		case StoreRejectsMost, KillMost:
			return e.Target != instance
		case StoreLinkSilent, StoreLinkReset, StoreLinkOneWay:
			return e.Target == instance
		}
		switch scopeOf(e.Kind) {
		case onStore:
			return true
		case onInstance, onPeers:
			return e.Target == instance
		}
		return false
	}
}

// inScopes returns a filter for the faults in any of the given scopes.
func inScopes(scopes ...scope) func(Event) bool {
	return func(e Event) bool { return slices.Contains(scopes, scopeOf(e.Kind)) }
}
