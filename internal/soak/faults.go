package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"limpethub/internal/lab/faultproxy"
	"limpethub/platform/standin"
)

const (
	storeDelay  = 700 * time.Millisecond
	serverDelay = 60 * time.Millisecond
	// holdTime is how long a server is silent that goes on afterwards.
	holdTime   = 1500 * time.Millisecond
	peersDelay = 150 * time.Millisecond
	// serverPauseSeconds is the time to come back of a server that refuses requests.
	serverPauseSeconds = "0.7"
	// serverLimit is the limit that a server names, in requests a second. Callers would send each
	// engine several times as many.
	serverLimit = 1.5
	// crashPrefill is the time from the arrival of a prompt that crashes a server to the crash, and
	// crashDownTime how long the server is down then.
	crashPrefill  = 60 * time.Millisecond
	crashDownTime = 700 * time.Millisecond
	// peersDropEvery says that one in this many datagrams is dropped.
	peersDropEvery = 3
	// serverRestartDelay is the time from the stop of a server that left to its restart.
	serverRestartDelay = 500 * time.Millisecond
	// minLeaveNotice is the least time from a server's announcement that it is leaving to its
	// stop.
	minLeaveNotice = 2500 * time.Millisecond
)

// runSchedule injects events, each at its time after begin, and returns when all have ended.
// Once done is closed, it starts no more events and ends the running ones early.
func (s *site) runSchedule(events []Event, begin time.Time, done <-chan struct{}) {
	var wg sync.WaitGroup
	for _, e := range events {
		wg.Go(func() {
			if sleepUntil(begin.Add(e.At), done) {
				s.inject(e, done)
			}
		})
	}
	wg.Wait()
	s.clearFaults()
}

// sleepUntil waits until the given time, and returns false if done is closed before.
func sleepUntil(at time.Time, done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// clearFaults ends all faults on the proxies, the servers and the store, and continues paused
// instances. It clears all of them, whatever the events did at their end, as faults on the same
// target may have overlapped.
func (s *site) clearFaults() {
	s.store.FailAll(0)
	s.store.SetDelay(0)
	s.store.LoseAnswers(nil)
	for _, i := range s.instances {
		i.storeLink.SetFaults(faultproxy.NoFaults())
		s.acceptConnections(i.storeLink)
		i.peersLink.SetFaults(faultproxy.UDPFaults{})
		i.healServerLinks(s)
		i.signal(syscall.SIGCONT, false)
	}
	for _, server := range s.servers {
		server.link.SetFaults(faultproxy.NoFaults())
		server.SetAnswer(nil)
	}
}

// inject carries out one event and returns when it has ended. The targets wrap around if the
// event names an instance or a server that the site doesn't have.
func (s *site) inject(e Event, done <-chan struct{}) {
	end := time.Now().Add(e.For)
	waitForEnd := func() { sleepUntil(end, done) }
	switch scopeOf(e.Kind) {
	case onInstance:
		if e.Kind == KillMost {
			s.killAllBut(s.instances[e.Target%len(s.instances)], waitForEnd)
			return
		}
		s.injectOnInstance(e.Kind, s.instances[e.Target%len(s.instances)], waitForEnd)
	case onStore:
		s.injectOnStore(e.Kind, s.instances[e.Target%len(s.instances)], waitForEnd)
	case onServer:
		s.injectOnServer(e.Kind, s.servers[e.Target%len(s.servers)], waitForEnd)
	case onPeers:
		s.injectOnPeers(e.Kind, s.instances[e.Target%len(s.instances)], waitForEnd)
	case onConfiguration:
		s.writeConfiguration()
	case onServerLinks:
		s.cutOff(e.Target, waitForEnd)
	}
}

func (s *site) injectOnInstance(kind FaultKind, i *instance, waitForEnd func()) {
	switch kind {
	case PauseInstance:
		i.signal(syscall.SIGSTOP, false)
		waitForEnd()
		i.signal(syscall.SIGCONT, false)
		return
	case KillInstance:
		i.kill()
	case StopInstance:
		s.stopInstance(i)
	}
	waitForEnd()
	s.startInstance(i)
}

// startInstance starts an instance unless it is running. A failed start is recorded as a violation.
func (s *site) startInstance(i *instance) {
	if err := i.start(); err != nil {
		s.judge.RecordViolation(StaysUp, s.now(), "start of instance %d failed: %v", i.number, err)
	}
}

// killAllBut kills all instances but one at the same time, and starts them again together.
func (s *site) killAllBut(spared *instance, waitForEnd func()) {
	var killed sync.WaitGroup
	for _, i := range s.instances {
		if i != spared {
			killed.Go(i.kill)
		}
	}
	killed.Wait()
	waitForEnd()
	for _, i := range s.instances {
		s.startInstance(i)
	}
}

// stopInstance asks an instance to stop and waits for its end. It kills the instance after
// killAfter.
func (s *site) stopInstance(i *instance) {
	requestedAt := s.now()
	p := i.signal(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	s.judge.Stopping(i.number, p.startNumber, requestedAt)
	select {
	case <-p.ended:
	case <-time.After(killAfter):
		i.kill()
	}
	s.judge.Stopped(i.number, p.startNumber, s.now())
}

func (s *site) injectOnStore(kind FaultKind, i *instance, waitForEnd func()) {
	faults := faultproxy.NoFaults()
	switch kind {
	case StoreRefuses:
		s.store.FailAll(http.StatusServiceUnavailable)
		waitForEnd()
		s.store.FailAll(0)
	case StoreDown:
		// Each instance reaches the store through a view of its own, which a closed store would still answer.
		s.forOtherLinks(nil, refuseAndReset)
		waitForEnd()
		s.forOtherLinks(nil, s.acceptConnections)
	case StoreSlow:
		s.store.SetDelay(storeDelay)
		waitForEnd()
		s.store.SetDelay(0)
	case StoreLoses:
		s.store.LoseAnswers(func(r *http.Request) bool { return r.Method == http.MethodPost })
		waitForEnd()
		s.store.LoseAnswers(nil)
	case StoreForgets:
		s.store.Compact()
		s.store.EndAllLeases()
	case StoreRestored:
		older := s.store.Copy()
		waitForEnd()
		s.restoreStore(older)
	case StoreRejectsMost:
		s.forOtherLinks(i, refuseAndReset)
		waitForEnd()
		s.forOtherLinks(i, s.acceptConnections)
	case StoreSilent:
		faults.DropToClient = true
		s.forOtherLinks(nil, func(link *faultproxy.Proxy) { link.SetFaults(faults) })
		waitForEnd()
		s.forOtherLinks(nil, func(link *faultproxy.Proxy) {
			link.SilenceOpen()
			link.SetFaults(faultproxy.NoFaults())
		})
	case StoreLinkSilent:
		i.storeLink.SilenceOpen()
	case StoreLinkReset:
		i.storeLink.ResetOpen()
	case StoreLinkOneWay:
		faults.DropToClient = true
		i.storeLink.SetFaults(faults)
		waitForEnd()
		i.storeLink.SetFaults(faultproxy.NoFaults())
	}
}

// forOtherLinks calls f for the connections to the store of all instances but one; nil spares none.
func (s *site) forOtherLinks(spared *instance, f func(link *faultproxy.Proxy)) {
	for _, i := range s.instances {
		if i != spared {
			f(i.storeLink)
		}
	}
}

// acceptConnections lets a link take connections again. A failure is recorded as a violation, so
// that the run counts as failed.
func (s *site) acceptConnections(link *faultproxy.Proxy) {
	if err := link.Accept(); err != nil {
		s.judge.RecordViolation(StaysUp, s.now(), "a connection to the store can't be opened again: %v", err)
	}
}

// restoreStore makes the store come back from an older copy. The operators and the servers that
// run write again what they wrote; nobody else does.
func (s *site) restoreStore(older standin.Copy) {
	s.configureMu.Lock()
	defer s.configureMu.Unlock()
	s.store.RestoreCopy(older)
	s.writeVersion(int(s.newestVersion.Load()))
	for _, server := range s.servers {
		server.AnnounceIfRunning()
	}
}

func (s *site) injectOnServer(kind FaultKind, server *server, waitForEnd func()) {
	faults := faultproxy.NoFaults()
	switch kind {
	case ServerDown:
		server.Close()
		waitForEnd()
		s.restartServer(server)
		return
	case ServerLeaves:
		s.leaveAndReturn(server, waitForEnd)
		return
	case ServerFails:
		server.SetAnswer(func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusInternalServerError)
			return true
		})
		waitForEnd()
		server.SetAnswer(nil)
		return
	case ServerPauses:
		server.SetAnswer(func(w http.ResponseWriter, _ *http.Request) bool {
			standin.RefuseWithPause(w, serverPauseSeconds)
			return true
		})
		waitForEnd()
		server.SetAnswer(nil)
		return
	case PromptCrashes:
		s.crashOnPrompts(waitForEnd)
		return
	case ServerChangesVersion:
		s.changeVersion(server, waitForEnd)
		return
	case EngineJoins:
		s.joinAgain(server, waitForEnd)
		return
	case RequestCrashes:
		s.crashOnRequest(waitForEnd)
		return
	case ServerLimits:
		s.judge.LimitNamed(server.ID(), serverLimit, s.now())
		server.NameLimit(fmt.Sprint(serverLimit))
		waitForEnd()
		server.NameLimit("")
		s.judge.LimitEnded(server.ID())
		return
	case ServerSilent:
		server.link.SilenceOpen()
		return
	case ServerReset:
		faults.ResetToClient = 0 // Reset at the first byte of an answer.
	case ServerSlow:
		faults.Delay = serverDelay
	case ServerHolds:
		faults.Delay = holdTime
	case ServerOneWay:
		faults.DropToClient = true
	}
	server.link.SetFaults(faults)
	waitForEnd()
	server.link.SetFaults(faultproxy.NoFaults())
}

// leaveAndReturn makes a server announce that it is leaving, stop, and start again with
// nothing loaded.
func (s *site) leaveAndReturn(server *server, waitForEnd func()) {
	server.Leave()
	s.judge.ServerLeaving(server.ID(), s.now())
	time.Sleep(minLeaveNotice)
	waitForEnd()
	server.Withdraw()
	server.Close()
	time.Sleep(serverRestartDelay)
	s.restartServer(server)
}

// changeVersion ends an engine, or the next one after a plain server, and starts it again with the other
// version of its software.
func (s *site) changeVersion(target *server, waitForEnd func()) {
	if n := slices.Index(s.servers, target); n < s.size.Plain {
		target = s.servers[s.size.Plain+n%s.size.Engines]
	}
	version := softwareVersions[0]
	if target.Version() == version {
		version = softwareVersions[1]
	}
	target.Close()
	waitForEnd()
	s.judge.ServerRestarting(target.ID())
	s.judge.LimitEnded(target.ID())
	if err := target.RestartAs(version); err != nil {
		s.judge.RecordViolation(StaysUp, s.now(), "restart of the stand-in %s failed: %v", target.ID(), err)
	}
}

// joinedModels is how many models an engine has that joins. They fit into its memory.
const joinedModels = 2

// joinAgain takes an engine and its announcement away, and lets it join with the other version of its software and with
// models that serve at once.
func (s *site) joinAgain(engine *server, waitForEnd func()) {
	version := softwareVersions[0]
	if engine.Version() == version {
		version = softwareVersions[1]
	}
	engine.Withdraw()
	engine.Close()
	waitForEnd()
	s.judge.ServerRestarting(engine.ID())
	s.judge.LimitEnded(engine.ID())
	if err := engine.Join(version, s.models[:joinedModels]); err != nil {
		s.judge.RecordViolation(StaysUp, s.now(), "the stand-in %s can't join: %v", engine.ID(), err)
	}
}

// restartServer starts a server again. A failed restart is recorded as a violation, so that the
// run counts as failed.
func (s *site) restartServer(server *server) {
	s.judge.ServerRestarting(server.ID())
	s.judge.LimitEnded(server.ID())
	if err := server.Restart(); err != nil {
		s.judge.RecordViolation(StaysUp, s.now(), "restart of the stand-in %s failed: %v", server.ID(), err)
	}
}

// crashOnPrompts lets callers send prompts with a new part that crashes each engine, until the end.
func (s *site) crashOnPrompts(waitForEnd func()) {
	part := fmt.Sprintf("dead%d", s.crashingParts.Add(1))
	s.crashingPart.Store(&part)
	for _, server := range s.servers[s.size.Plain:] {
		s.crashOn(server, crashingSubject{part: part})
	}
	waitForEnd()
	s.crashingPart.CompareAndSwap(&part, nil)
	for _, server := range s.servers[s.size.Plain:] {
		server.StopCrashing(standin.CrashOptions{Part: part})
	}
}

// crashOnRequest lets callers repeat a new request that crashes each plain server, until the end. In turn
// it is idempotent or not.
func (s *site) crashOnRequest(waitForEnd func()) {
	number := s.crashingPaths.Add(1)
	path := fmt.Sprint([]string{standin.SafePath, standin.UnsafePath}[number%2], "dead", number)
	s.crashingPath.Store(&path)
	for _, server := range s.servers[:s.size.Plain] {
		s.crashOn(server, crashingSubject{path: path})
	}
	waitForEnd()
	s.crashingPath.CompareAndSwap(&path, nil)
	for _, server := range s.servers[:s.size.Plain] {
		server.StopCrashing(standin.CrashOptions{Path: path})
	}
}

// crashOn makes a server crash on a subject. For that time its proxy refuses connections too.
func (s *site) crashOn(server *server, subject crashingSubject) {
	server.CrashOn(standin.CrashOptions{
		Part: subject.part, Path: subject.path, Body: bodyOf(subject.path), Prefill: crashPrefill, DownFor: crashDownTime,
		OnArrival: func(server, request string) { s.judge.CrashingArrived(subject, server, request, s.now()) },
		OnCrash: func(id string) {
			s.judge.Crashed(subject, s.now())
			s.judge.LimitEnded(id)
			server.link.Refuse()
		},
		OnRestart: func(string) { s.acceptConnections(server.link) },
	})
}

func (s *site) injectOnPeers(kind FaultKind, i *instance, waitForEnd func()) {
	var faults faultproxy.UDPFaults
	switch kind {
	case PeersLost:
		faults.DropEvery = peersDropEvery
	case PeersOneWay:
		faults.DropToClient = true
	case PeersSlow:
		faults.Delay = peersDelay
	}
	i.peersLink.SetFaults(faults)
	waitForEnd()
	i.peersLink.SetFaults(faultproxy.UDPFaults{})
}
