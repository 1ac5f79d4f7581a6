// Package soak runs real daemons as processes of their own, among stand-ins of the
// users' platform, and injects faults from outside: by signals, and by proxies between
// them. Judges check the platform's promises meanwhile, from what callers and backend
// servers see. What happens when is a pure function of a seed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is what a fault does.
type Kind string

// Kinds of faults. Each has a target: an instance, a server, or nothing.
const (
	// Signals to an instance, which is started again after the event's time.
	StopInstance  Kind = "instance-stop"
	KillInstance  Kind = "instance-kill"
	PauseInstance Kind = "instance-pause"
	// ChangeConfiguration writes a new configuration.
	ChangeConfiguration Kind = "configuration"
	// The whole store.
	StoreRefuses Kind = "store-refuses"
	StoreDown    Kind = "store-down"
	StoreSlow    Kind = "store-slow"
	StoreLoses   Kind = "store-loses-answers"
	StoreForgets Kind = "store-forgets"
	// One instance's connections to the store.
	StoreLinkSilent Kind = "store-link-silent"
	StoreLinkReset  Kind = "store-link-reset"
	StoreLinkOneWay Kind = "store-link-one-way"
	// A server, and the connections to it.
	ServerDown   Kind = "server-down"
	ServerLeaves Kind = "server-leaves"
	ServerErrs   Kind = "server-errs"
	ServerReset  Kind = "server-reset"
	ServerSilent Kind = "server-silent"
	ServerSlow   Kind = "server-slow"
	ServerOneWay Kind = "server-one-way"
	// Datagrams to an instance from its peers.
	PeersLost   Kind = "peers-lost"
	PeersOneWay Kind = "peers-one-way"
	PeersSlow   Kind = "peers-slow"
)

// scope says what a kind of fault hits.
type scope uint8

const (
	onStore scope = iota + 1
	onInstance
	onServer
	onPeers
	onConfiguration
)

// kinds lists all kinds in a fixed order, with what they hit.
var kinds = []struct {
	kind  Kind
	scope scope
}{
	{StopInstance, onInstance}, {KillInstance, onInstance}, {PauseInstance, onInstance},
	{ChangeConfiguration, onConfiguration},
	{StoreRefuses, onStore}, {StoreDown, onStore}, {StoreSlow, onStore}, {StoreLoses, onStore}, {StoreForgets, onStore},
	{StoreLinkSilent, onStore}, {StoreLinkReset, onStore}, {StoreLinkOneWay, onStore},
	{ServerDown, onServer}, {ServerLeaves, onServer}, {ServerErrs, onServer}, {ServerReset, onServer},
	{ServerSilent, onServer}, {ServerSlow, onServer}, {ServerOneWay, onServer},
	{PeersLost, onPeers}, {PeersOneWay, onPeers}, {PeersSlow, onPeers},
}

func scopeOf(kind Kind) scope {
	for _, k := range kinds {
		if k.kind == kind {
			return k.scope
		}
	}
	return 0
}

// Event is one fault.
type Event struct {
	Kind Kind `json:"kind"`
	// At is when it begins, from the start of the load, and For how long it lasts.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for"`
	// Target numbers the instance or the server.
	Target int `json:"target"`
}

func (e Event) String() string {
	return fmt.Sprintf("%s of %d at %s for %s", e.Kind, e.Target, e.At, e.For)
}

// Size is how large a run is.
type Size struct {
	// Instances, Plain and Engines count daemons, plain servers and model engines.
	Instances int `json:"instances"`
	Plain     int `json:"plain"`
	Engines   int `json:"engines"`
	// Length is the time in which faults begin.
	Length time.Duration `json:"length"`
}

// Servers counts all servers.
func (s Size) Servers() int { return s.Plain + s.Engines }

const (
	// meanGap is the mean time between two series of faults.
	meanGap = 1200 * time.Millisecond
	// longestFault and shortestFault bound how long a fault lasts.
	shortestFault = 100 * time.Millisecond
	longestFault  = 4 * time.Second
	// mostInSeries is how many faults of one kind may follow each other.
	mostInSeries = 3
)

// Plan makes the schedule of a seed: series of faults that overlap.
func Plan(seed uint64, size Size) []Event {
	random := rand.New(rand.NewPCG(seed, 13))
	var out []Event
	for at := gap(random); at < size.Length; at += gap(random) {
		kind := kinds[random.IntN(len(kinds))]
		for series := 1 + random.IntN(mostInSeries); series > 0; series-- {
			begin := at + time.Duration(random.Int64N(int64(time.Second)))
			out = append(out, Event{
				Kind: kind.kind, At: begin.Round(time.Millisecond), Target: target(random, kind.scope, size),
				For: (shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))).Round(time.Millisecond),
			})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

func gap(random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(meanGap))
}

func target(random *rand.Rand, s scope, size Size) int {
	if s == onServer {
		return random.IntN(size.Servers())
	}
	return random.IntN(size.Instances)
}

// End is when the last event is over.
func End(events []Event) (end time.Duration) {
	for _, e := range events {
		end = max(end, e.At+e.For)
	}
	return end
}
