// Package soak tests the whole system by fault injection: it runs real daemons as child
// processes, with stand-ins for the users' platform, and injects faults from outside the
// daemons, by signals and by proxies on their connections. Meanwhile a Judge checks the
// system's promises from what callers and backend servers observe. The schedule of faults is
// a pure function of a seed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind names what a fault does.
type Kind string

// Kinds of faults. An event's target is an instance or a server; some kinds ignore it.
const (
	// Faults of an instance's process. A stopped or killed instance is started again after the
	// event's duration, a paused one is continued.
	StopInstance  Kind = "instance-stop"
	KillInstance  Kind = "instance-kill"
	PauseInstance Kind = "instance-pause"
	// ChangeConfiguration writes a new configuration.
	ChangeConfiguration Kind = "configuration"
	// Faults of the whole store: it answers 503, accepts no connections, delays its answers,
	// loses the answers of POST calls after they took effect, or drops its history and all leases.
	StoreRefuses Kind = "store-refuses"
	StoreDown    Kind = "store-down"
	StoreSlow    Kind = "store-slow"
	StoreLoses   Kind = "store-loses-answers"
	StoreForgets Kind = "store-forgets"
	// Faults of one instance's connections to the store. Silent and reset affect the connections
	// that are open at the time.
	StoreLinkSilent Kind = "store-link-silent"
	StoreLinkReset  Kind = "store-link-reset"
	StoreLinkOneWay Kind = "store-link-one-way"
	// Faults of a server, and of the connections to it. Silent affects the connections that are
	// open at the time.
	ServerDown   Kind = "server-down"
	ServerLeaves Kind = "server-leaves"
	ServerErrs   Kind = "server-errs"
	ServerReset  Kind = "server-reset"
	ServerSilent Kind = "server-silent"
	ServerSlow   Kind = "server-slow"
	ServerOneWay Kind = "server-one-way"
	// Faults of the datagrams to an instance from its peers.
	PeersLost   Kind = "peers-lost"
	PeersOneWay Kind = "peers-one-way"
	PeersSlow   Kind = "peers-slow"
)

// scope says which part of the site a kind of fault affects.
type scope uint8

const (
	onStore scope = iota + 1
	onInstance
	onServer
	onPeers
	onConfiguration
)

// kinds lists all kinds with their scopes. The schedule of a seed depends on the order.
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
	// At is when the fault begins, from the start of the schedule. For is how long it lasts.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for"`
	// Target is the number of the instance or server.
	Target int `json:"target"`
}

func (e Event) String() string {
	return fmt.Sprintf("%s of %d at %s for %s", e.Kind, e.Target, e.At, e.For)
}

// Size is the size of a run.
type Size struct {
	// Instances, Plain and Engines are the numbers of daemons, plain servers and model engines.
	Instances int `json:"instances"`
	Plain     int `json:"plain"`
	Engines   int `json:"engines"`
	// Length is the time within which series of faults begin.
	Length time.Duration `json:"length"`
}

// Servers returns the number of all servers.
func (s Size) Servers() int { return s.Plain + s.Engines }

const (
	// meanSeriesGap is the mean time between the starts of two series of faults.
	meanSeriesGap = 1200 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// maxSeriesLength is the maximum number of faults in a series. All are of one kind.
	maxSeriesLength = 3
)

// Plan returns the schedule of a seed: series of faults of one kind, which may overlap.
func Plan(seed uint64, size Size) []Event {
	random := rand.New(rand.NewPCG(seed, 13))
	var out []Event
	for at := seriesGap(random); at < size.Length; at += seriesGap(random) {
		kind := kinds[random.IntN(len(kinds))]
		for left := 1 + random.IntN(maxSeriesLength); left > 0; left-- {
			begin := at + time.Duration(random.Int64N(int64(time.Second)))
			out = append(out, Event{
				Kind: kind.kind, At: begin.Round(time.Millisecond), Target: randomTarget(random, kind.scope, size),
				For: (minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))).Round(time.Millisecond),
			})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

func seriesGap(random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(meanSeriesGap))
}

func randomTarget(random *rand.Rand, s scope, size Size) int {
	if s == onServer {
		return random.IntN(size.Servers())
	}
	return random.IntN(size.Instances)
}

// End returns when the last event ends.
func End(events []Event) (end time.Duration) {
	for _, e := range events {
		end = max(end, e.At+e.For)
	}
	return end
}
