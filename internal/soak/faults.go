package soak

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"limpethub/internal/lab/faultproxy"
)

const (
	slowStore  = 700 * time.Millisecond
	slowServer = 60 * time.Millisecond
	slowPeers  = 150 * time.Millisecond
	// lossyPeers is that each so many datagrams are lost.
	lossyPeers = 3
	// backAfter is how long a server that left stays away.
	backAfter = 500 * time.Millisecond
	// leastNotice is the least time that a leaving server stays.
	leastNotice = 2500 * time.Millisecond
)

// play carries out a schedule from now on, and returns when all of it is over.
func (s *site) play(events []Event, begin time.Time, done <-chan struct{}) {
	var all sync.WaitGroup
	for _, e := range events {
		all.Go(func() {
			if sleepUntil(begin.Add(e.At), done) {
				s.inject(e, done)
			}
		})
	}
	all.Wait()
	s.mend()
}

// sleepUntil waits, and reports whether the run still goes on.
func sleepUntil(at time.Time, done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// mend ends all faults on proxies and the store, which may have overlapped.
func (s *site) mend() {
	s.store.FailAll(0)
	s.store.SetDelay(0)
	s.store.LoseAnswers(nil)
	for _, i := range s.instances {
		i.storeLink.SetFaults(faultproxy.NoFaults())
		i.peersLink.SetFaults(faultproxy.UDPFaults{})
		i.signal(syscall.SIGCONT, false)
	}
	for _, server := range s.servers {
		server.link.SetFaults(faultproxy.NoFaults())
		server.SetAnswer(nil)
	}
}

// inject carries out one event, to its end.
func (s *site) inject(e Event, done <-chan struct{}) {
	end := time.Now().Add(e.For)
	rest := func() { sleepUntil(end, done) }
	switch scopeOf(e.Kind) {
	case onInstance:
		s.onInstance(e.Kind, s.instances[e.Target%len(s.instances)], rest)
	case onStore:
		s.onStore(e.Kind, s.instances[e.Target%len(s.instances)], rest)
	case onServer:
		s.onServer(e.Kind, s.servers[e.Target%len(s.servers)], rest)
	case onPeers:
		s.onPeers(e.Kind, s.instances[e.Target%len(s.instances)], rest)
	case onConfiguration:
		s.configure()
	}
}

func (s *site) onInstance(kind Kind, i *instance, rest func()) {
	switch kind {
	case PauseInstance:
		i.signal(syscall.SIGSTOP, false)
		rest()
		i.signal(syscall.SIGCONT, false)
		return
	case KillInstance:
		i.kill()
	case StopInstance:
		s.stop(i)
	}
	rest()
	if err := i.start(); err != nil {
		s.judge.Broken(StaysUp, s.now(), "instance %d can't be started: %v", i.number, err)
	}
}

// stop asks an instance to stop and waits until it has.
func (s *site) stop(i *instance) {
	asked := s.now()
	r := i.signal(syscall.SIGTERM, true)
	if r == nil {
		return
	}
	s.judge.Stopping(i.number, r.start, asked)
	select {
	case <-r.gone:
	case <-time.After(stopLimit):
		i.kill()
	}
	s.judge.Stopped(i.number, r.start, s.now())
}

func (s *site) onStore(kind Kind, i *instance, rest func()) {
	faults := faultproxy.NoFaults()
	switch kind {
	case StoreRefuses:
		s.store.FailAll(http.StatusServiceUnavailable)
		rest()
		s.store.FailAll(0)
	case StoreDown:
		s.store.Close()
		rest()
		if err := s.store.Restart(); err != nil {
			s.judge.Broken(StaysUp, s.now(), "the stand-in of the store can't be started: %v", err)
		}
	case StoreSlow:
		s.store.SetDelay(slowStore)
		rest()
		s.store.SetDelay(0)
	case StoreLoses:
		s.store.LoseAnswers(func(r *http.Request) bool { return r.Method == http.MethodPost })
		rest()
		s.store.LoseAnswers(nil)
	case StoreForgets:
		s.store.Compact()
		s.store.EndAllLeases()
	case StoreLinkSilent:
		i.storeLink.SilenceOpen()
	case StoreLinkReset:
		i.storeLink.ResetOpen()
	case StoreLinkOneWay:
		faults.DropToClient = true
		i.storeLink.SetFaults(faults)
		rest()
		i.storeLink.SetFaults(faultproxy.NoFaults())
	}
}

func (s *site) onServer(kind Kind, server *server, rest func()) {
	faults := faultproxy.NoFaults()
	switch kind {
	case ServerDown:
		server.Close()
		rest()
		s.restart(server)
		return
	case ServerLeaves:
		s.leave(server, rest)
		return
	case ServerErrs:
		server.SetAnswer(func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusInternalServerError)
			return true
		})
		rest()
		server.SetAnswer(nil)
		return
	case ServerSilent:
		server.link.SilenceOpen()
		return
	case ServerReset:
		faults.ResetToClient = 0
	case ServerSlow:
		faults.Delay = slowServer
	case ServerOneWay:
		faults.DropToClient = true
	}
	server.link.SetFaults(faults)
	rest()
	server.link.SetFaults(faultproxy.NoFaults())
}

// leave makes a server leave with notice and come back empty.
func (s *site) leave(server *server, rest func()) {
	server.Leave()
	s.judge.ServerLeaves(server.ID(), s.now())
	time.Sleep(leastNotice)
	rest()
	server.Withdraw()
	server.Close()
	time.Sleep(backAfter)
	s.restart(server)
}

func (s *site) restart(server *server) {
	s.judge.ServerBack(server.ID())
	if err := server.Restart(); err != nil {
		s.judge.Broken(StaysUp, s.now(), "the stand-in %s can't be started: %v", server.ID(), err)
	}
}

func (s *site) onPeers(kind Kind, i *instance, rest func()) {
	var faults faultproxy.UDPFaults
	switch kind {
	case PeersLost:
		faults.DropEvery = lossyPeers
	case PeersOneWay:
		faults.DropToClient = true
	case PeersSlow:
		faults.Delay = slowPeers
	}
	i.peersLink.SetFaults(faults)
	rest()
	i.peersLink.SetFaults(faultproxy.UDPFaults{})
}
