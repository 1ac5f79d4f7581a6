// Package soak tests the whole system by fault injection: it runs real daemons as child
// processes, with stand-ins for the users' platform, and injects faults from outside the
// daemons, by signals and by proxies on their connections. Meanwhile a Judge checks the
// system's promises from what callers and backend servers observe. The schedule of faults is
// a pure function of a seed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// FaultKind names what a fault does.
type FaultKind string

// Kinds of faults. An event's target is an instance or a server; some kinds ignore it.
const (
	// Faults of an instance's process. A stopped or killed instance is started again after the
	// event's duration, a paused one is continued.
	StopInstance  FaultKind = "instance-stop"
	KillInstance  FaultKind = "instance-kill"
	PauseInstance FaultKind = "instance-pause"
	// ChangeConfiguration writes a new configuration.
	ChangeConfiguration FaultKind = "configuration"
	// StoreRefuses makes the store answer all calls with 503.
	StoreRefuses FaultKind = "store-refuses"
	// StoreDown makes the store accept no connections.
	StoreDown FaultKind = "store-down"
	// StoreSlow makes the store delay its answers.
	StoreSlow FaultKind = "store-slow"
	// StoreLoses loses the answers of POST calls after they took effect (unclear writes).
	StoreLoses FaultKind = "store-loses-answers"
	// StoreForgets drops the store's history of changes and ends all leases.
	StoreForgets FaultKind = "store-forgets"
	// Faults of one instance's connections to the store. Silent and reset affect the connections
	// that are open at the time: silent ones stay open but pass nothing in either direction. With
	// one-way, nothing from the store reaches the instance.
	StoreLinkSilent FaultKind = "store-link-silent"
	StoreLinkReset  FaultKind = "store-link-reset"
	StoreLinkOneWay FaultKind = "store-link-one-way"
	// ServerDown stops a server and starts it again after the event's duration.
	ServerDown FaultKind = "server-down"
	// ServerLeaves makes a server announce that it is leaving, stop, and start again.
	ServerLeaves FaultKind = "server-leaves"
	// ServerFails makes a server answer requests with 500.
	ServerFails FaultKind = "server-errs"
	// ServerReset resets a connection to the server at the first byte of an answer.
	ServerReset FaultKind = "server-reset"
	// ServerSilent makes the connections that are open at the time pass nothing in either
	// direction. They stay open.
	ServerSilent FaultKind = "server-silent"
	// ServerSlow delays the data of the connections to the server, in both directions.
	ServerSlow FaultKind = "server-slow"
	// ServerOneWay drops everything that the server sends to instances.
	ServerOneWay FaultKind = "server-one-way"
	// Faults of the datagrams between peers and an instance that pass its proxy. Lost and slow
	// affect both directions, one-way drops the datagrams that the instance sends back.
	PeersLost   FaultKind = "peers-lost"
	PeersOneWay FaultKind = "peers-one-way"
	PeersSlow   FaultKind = "peers-slow"
	// StoreRestored makes the store come back, after the event's duration, from the copy that it
	// had at the event's begin. Operators and servers then write again what they wrote since.
	StoreRestored FaultKind = "store-restored"
	// ServerPauses makes a server refuse all requests with a time to come back.
	ServerPauses FaultKind = "server-pauses"
	// StoreRejectsMost makes the store accept no connections of any instance but the target.
	StoreRejectsMost FaultKind = "store-rejects-most"
	// StoreSilent loses all answers of the store. The connections that are open at the end stay
	// open but pass nothing any more.
	StoreSilent FaultKind = "store-silent"
	// KillMost kills the processes of all instances but the target. They are started again after
	// the event's duration.
	KillMost FaultKind = "instances-kill-most"
	// PromptCrashes makes a part of some callers' prompts end each server that begins to answer it.
	PromptCrashes FaultKind = "prompt-crashes-servers"
	// ServerChangesVersion ends an engine and starts it again under its id with another version of its
	// software.
	ServerChangesVersion FaultKind = "server-changes-version"
	// ServerHolds makes a server fall silent for holdTime, after which it goes on: what it sends during the event comes
	// so much later. It isn't in the schedules of seeds.
	ServerHolds FaultKind = "server-holds"
	// EngineJoins takes an engine and its announcement away, and lets it join after the event's duration with another
	// version of its software. It isn't in the schedules of seeds.
	EngineJoins FaultKind = "engine-joins"
	// RequestCrashes makes a request that some callers repeat end each server that begins to run it.
	RequestCrashes FaultKind = "request-crashes-servers"
	// InstancesCutOff cuts one instance, or all but one, off from all servers. The target says which and in which
	// form; see cutOf.
	InstancesCutOff FaultKind = "instances-cut-off"
	// ServerLimits makes a server name, in its answers, how many requests a second it takes.
	ServerLimits FaultKind = "server-limits"
)

// scope says which part of the site a kind of fault affects.
type scope uint8

const (
	onStore scope = iota + 1
	onInstance
	onServer
	onPeers
	onConfiguration
	// onServerLinks is for the connections of some instances to all servers.
	onServerLinks
)

type scopedKind struct {
	kind  FaultKind
	scope scope
}

// faultKinds lists the kinds with their scopes. The schedule of a seed depends on the order.
var faultKinds = []scopedKind{
	{StopInstance, onInstance}, {KillInstance, onInstance}, {PauseInstance, onInstance},
	{ChangeConfiguration, onConfiguration},
	{StoreRefuses, onStore}, {StoreDown, onStore}, {StoreSlow, onStore}, {StoreLoses, onStore}, {StoreForgets, onStore},
	{StoreLinkSilent, onStore}, {StoreLinkReset, onStore}, {StoreLinkOneWay, onStore},
	{ServerDown, onServer}, {ServerLeaves, onServer}, {ServerFails, onServer}, {ServerReset, onServer},
	{ServerSilent, onServer}, {ServerSlow, onServer}, {ServerOneWay, onServer},
	{PeersLost, onPeers}, {PeersOneWay, onPeers}, {PeersSlow, onPeers},
}

// laterFaultKinds lists the kinds that were added later. They have a random sequence of their own,
// so that the schedules of earlier seeds are parts of those that they have now.
var laterFaultKinds = []scopedKind{{StoreRestored, onStore}, {ServerPauses, onServer}}

// fleetFaultKinds lists the kinds that affect several instances at once. They have a random sequence
// of their own for the same reason.
var fleetFaultKinds = []scopedKind{{StoreRejectsMost, onStore}, {StoreSilent, onStore}, {KillMost, onInstance}}

// longFaultKinds lists the kinds that last for long, since what is judged begins seconds after their
// start. They have a random sequence of their own too.
var longFaultKinds = []scopedKind{{PromptCrashes, onServer}, {ServerLimits, onServer}}

// longestFaultKinds lists the kinds of which the judge checks what comes seconds after servers have ended
// several times. They have a random sequence of their own too.
var longestFaultKinds = []scopedKind{{RequestCrashes, onServer}, {PromptCrashes, onServer}}

// versionFaultKinds has the kind that changes software versions, with a random sequence of its own.
var versionFaultKinds = []scopedKind{{ServerChangesVersion, onServer}}

// cutFaultKinds has the kind that cuts instances off from the servers, with a random sequence of its own.
var cutFaultKinds = []scopedKind{{InstancesCutOff, onServerLinks}}

// ownFaultKinds lists the kinds that only schedules of tests have.
var ownFaultKinds = []scopedKind{{EngineJoins, onServer}, {ServerHolds, onServer}}

func scopeOf(kind FaultKind) scope {
	for _, k := range slices.Concat(ownFaultKinds, faultKinds, laterFaultKinds, fleetFaultKinds, longFaultKinds, longestFaultKinds, versionFaultKinds, cutFaultKinds) {
		if k.kind == kind {
			return k.scope
		}
	}
	return 0
}

// Event is one fault of a schedule.
type Event struct {
	Kind FaultKind `json:"kind"`
	// At is when the fault begins, from the start of the schedule. For is how long it lasts.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for"`
	// Target is the number of the instance or server.
	Target int `json:"target"`
}

func (e Event) String() string {
	return fmt.Sprintf("%s of %d at %s for %s", e.Kind, e.Target, e.At, e.For)
}

type Size struct {
	// Instances, Plain and Engines are the numbers of daemons, of plain servers, which hold no
	// models, and of servers that load models and adapters.
	Instances int `json:"instances"`
	Plain     int `json:"plain"`
	Engines   int `json:"engines"`
	// Length is the time within which series of faults begin.
	Length time.Duration `json:"length"`
}

// Servers returns the number of all servers.
func (s Size) Servers() int { return s.Plain + s.Engines }

const (
	// meanSeriesGap is the mean time between the starts of two series of faults,
	// laterMeanSeriesGap that between two series of laterFaultKinds, fleetMeanSeriesGap that of
	// fleetFaultKinds, and versionMeanSeriesGap that of versionFaultKinds.
	meanSeriesGap        = 1200 * time.Millisecond
	laterMeanSeriesGap   = 6 * time.Second
	fleetMeanSeriesGap   = 7 * time.Second
	versionMeanSeriesGap = 6 * time.Second
	// longMeanGap is the mean time between the starts of two faults of longFaultKinds, and
	// longFaultDuration is how long each lasts.
	longMeanGap = 8 * time.Second
	// cutMeanGap is that of cutFaultKinds.
	cutMeanGap        = 14 * time.Second
	longFaultDuration = 9 * time.Second
	// longestFaultDuration is how long each fault of longestFaultKinds lasts; their gaps have the same
	// mean.
	longestFaultDuration = 15 * time.Second
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// maxSeriesLength is the maximum number of faults in a series. All are of one kind.
	maxSeriesLength = 3
)

// Plan returns the schedule of a seed. It consists of series of faults. All faults of a series are
// of one kind and begin within one second. Faults may overlap, also those of one series.
func Plan(seed uint64, size Size) []Event {
	// The second values, 13 to 19, differ from those of the callers (100 and up), so that they
	// get other random sequences.
	out := planSeries(rand.New(rand.NewPCG(seed, 13)), faultKinds, meanSeriesGap, size)
	out = append(out, planSeries(rand.New(rand.NewPCG(seed, 14)), laterFaultKinds, laterMeanSeriesGap, size)...)
	out = append(out, planSeries(rand.New(rand.NewPCG(seed, 15)), fleetFaultKinds, fleetMeanSeriesGap, size)...)
	out = append(out, planLong(rand.New(rand.NewPCG(seed, 16)), longFaultKinds, longMeanGap, longFaultDuration, size)...)
	out = append(out, planLong(rand.New(rand.NewPCG(seed, 17)), longestFaultKinds, longMeanGap, longestFaultDuration, size)...)
	out = append(out, planSeries(rand.New(rand.NewPCG(seed, 18)), versionFaultKinds, versionMeanSeriesGap, size)...)
	out = append(out, planLong(rand.New(rand.NewPCG(seed, 19)), cutFaultKinds, cutMeanGap, longFaultDuration, size)...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// planSeries returns series of faults of the given kinds.
func planSeries(random *rand.Rand, kinds []scopedKind, meanGap time.Duration, size Size) []Event {
	var out []Event
	for at := seriesGap(random, meanGap); at < size.Length; at += seriesGap(random, meanGap) {
		kind := kinds[random.IntN(len(kinds))]
		for left := 1 + random.IntN(maxSeriesLength); left > 0; left-- {
			begin := at + time.Duration(random.Int64N(int64(time.Second)))
			out = append(out, Event{
				Kind: kind.kind, At: begin.Round(time.Millisecond), Target: randomTarget(random, kind.scope, size),
				For: (minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))).Round(time.Millisecond),
			})
		}
	}
	return out
}

// planLong returns single faults of the given kinds, each with the given duration.
func planLong(random *rand.Rand, kinds []scopedKind, meanGap, duration time.Duration, size Size) []Event {
	var out []Event
	for at := seriesGap(random, meanGap); at < size.Length; at += seriesGap(random, meanGap) {
		kind := kinds[random.IntN(len(kinds))]
		out = append(out, Event{
			Kind: kind.kind, At: at.Round(time.Millisecond), For: duration, Target: randomTarget(random, kind.scope, size),
		})
	}
	return out
}

func seriesGap(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

func randomTarget(random *rand.Rand, s scope, size Size) int {
	switch s {
	case onServer:
		return random.IntN(size.Servers())
	case onServerLinks:
		return random.IntN(size.Instances * cutVariants)
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
