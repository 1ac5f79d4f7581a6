package soak

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"limpethub/internal/lab/faultproxy"
	"limpethub/platform/standin"
)

const (
	// stableWindow is how long after the end of a cut the promises hold again.
	stableWindow = 3 * time.Second
	// heartbeatInterval is how often servers write to the store.
	heartbeatInterval = 1200 * time.Millisecond
	askInterval       = 10 * time.Millisecond
)

// absenceSite is three instances, of which the first misses the store, and plain servers. The first instance gets requests all the time.
type absenceSite struct {
	*site
	dir string

	mu       sync.Mutex
	statuses []timedStatus
	// arrivals are the times of the requests at the first server.
	arrivals []time.Duration
	// silent stops the heartbeats of the servers.
	silent bool
}

type timedStatus struct {
	sentAt time.Duration
	status int
}

func startAbsenceSite(t *testing.T, subnet int) *absenceSite {
	t.Helper()
	binary, err := Build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Size: Size{Instances: 3, Plain: 6, Engines: 1}, Binary: binary, Dir: t.TempDir(), Subnet: Subnet(subnet)}
	s, err := newSite(t.Context(), o, NewJudge(limits, nil), o.Subnet)
	t.Cleanup(s.close)
	if err != nil {
		t.Fatal(err)
	}
	a := &absenceSite{site: s, dir: o.Dir}
	s.servers[0].OnArrival(func(id string) {
		if id != "" {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.arrivals = append(a.arrivals, s.now())
		}
	})
	ctx, stop := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	t.Cleanup(loops.Wait)
	t.Cleanup(stop)
	loops.Go(func() { a.beat(ctx) })
	loops.Go(func() { a.ask(ctx) })
	time.Sleep(2 * time.Second)
	return a
}

// beat writes the servers' heartbeats, one after the other, unless they are silent.
func (a *absenceSite) beat(ctx context.Context) {
	for n := 0; sleepUntil(time.Now().Add(heartbeatInterval/time.Duration(len(a.servers))), ctx.Done()); n++ {
		a.mu.Lock()
		silent := a.silent
		a.mu.Unlock()
		if !silent {
			a.servers[n%len(a.servers)].AnnounceIfRunning()
		}
	}
}

func (a *absenceSite) setSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
}

// ask sends requests to the first instance, and keeps the statuses of the answers.
func (a *absenceSite) ask(ctx context.Context) {
	caller := standin.NewCaller()
	defer caller.Close()
	var requests sync.WaitGroup
	defer requests.Wait()
	for sleepUntil(time.Now().Add(askInterval), ctx.Done()) {
		requests.Go(func() {
			sentAt := a.now()
			answer := caller.Do(ctx, standin.CallerRequest{
				Address: a.instances[0].callersAddress, Path: standin.SafePath + "x", ID: sentAt.String(), Deadline: 1500 * time.Millisecond,
			}, nil)
			a.mu.Lock()
			defer a.mu.Unlock()
			a.statuses = append(a.statuses, timedStatus{sentAt, answer.Status})
		})
	}
}

// cut cuts the first instance off from the store and the other instances, or ends that.
func (a *absenceSite) cut(t *testing.T, isCut bool) {
	t.Helper()
	first := a.instances[0]
	store, toFirst, toOthers := faultproxy.NoFaults(), faultproxy.UDPFaults{}, faultproxy.UDPFaults{}
	if isCut {
		store.DropToServer, store.DropToClient = true, true
		toFirst = faultproxy.UDPFaults{DropToServer: true, DropToClient: true}
		toOthers.DropFrom = []string{first.ip}
	}
	first.storeLink.SetFaults(store)
	first.peersLink.SetFaults(toFirst)
	for _, other := range a.instances[1:] {
		other.peersLink.SetFaults(toOthers)
	}
	if isCut {
		if err := first.storeLink.Hang(); err != nil {
			t.Fatal(err)
		}
		return
	}
	first.storeLink.ResetOpen()
	if err := first.storeLink.Accept(); err != nil {
		t.Fatal(err)
	}
}

// restart stops an instance and starts it again.
func (a *absenceSite) restart(number int) {
	a.stopInstance(a.instances[number])
	a.startInstance(a.instances[number])
}

// log returns the log of the first instance.
func (a *absenceSite) log(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(a.dir, "instance-0-start-1.log"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestServerThatLeftDuringACutGetsNothingThoughThePeersWereRestarted guards against an instance that was cut off while the other ones were
// restarted, and goes on sending requests to a server which left meanwhile: no process by itself can tell that the store
// was in service.
func TestServerThatLeftDuringACutGetsNothingThoughThePeersWereRestarted(t *testing.T) {
	a := startAbsenceSite(t, 30)
	a.cut(t, true)
	time.Sleep(2 * time.Second)
	a.store.Compact()
	for _, number := range []int{1, 2} {
		a.restart(number)
		time.Sleep(2 * time.Second)
	}
	a.servers[0].Withdraw()
	time.Sleep(2500 * time.Millisecond)
	a.cut(t, false)
	boundFrom := a.now() + stableWindow
	time.Sleep(stableWindow + time.Second)
	a.mu.Lock()
	defer a.mu.Unlock()
	late := 0
	for _, at := range a.arrivals {
		if at > boundFrom {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests reached the server that left, later than %v after the end of the cut", late, stableWindow)
	}
	if log := a.log(t); !strings.Contains(log, "Servers are gone: other instances have read the store all the while") {
		t.Error("the instance kept the server until the end of its grace period, though others had read the store all the while")
	}
}

// TestServersAreKeptAfterAnOutageBesideRestartsOfThePeers guards against an instance that gives up sound servers whose entries lapsed in an
// outage of the store, because it takes what restarted instances tell for a proof that the store was in service.
func TestServersAreKeptAfterAnOutageBesideRestartsOfThePeers(t *testing.T) {
	a := startAbsenceSite(t, 31)
	a.restart(1)
	time.Sleep(time.Second)
	a.setSilent(true)
	a.forOtherLinks(nil, refuseAndReset)
	time.Sleep(8 * time.Second)
	for _, s := range a.servers {
		a.store.Remove("servers/" + s.ID())
	}
	a.store.Compact()
	a.forOtherLinks(nil, a.acceptConnections)
	returned := a.now()
	var restarted sync.WaitGroup
	defer restarted.Wait()
	restarted.Go(func() { a.restart(2) })
	time.Sleep(1900 * time.Millisecond)
	for _, s := range a.servers {
		s.AnnounceIfRunning()
	}
	a.setSilent(false)
	time.Sleep(3 * time.Second)
	a.mu.Lock()
	defer a.mu.Unlock()
	refused := 0
	for _, s := range a.statuses {
		if s.sentAt > returned && s.sentAt < a.now()-2*time.Second && s.status != 200 {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d requests weren't served after the outage", refused)
	}
	if log := a.log(t); strings.Contains(log, "Servers are gone") || strings.Contains(log, `"msg":"Server is gone"`) {
		t.Errorf("the instance gave up servers whose entries had lapsed in the outage, which ended %v after the start of the run, at %v", returned, a.startedAt.Add(returned).UTC())
		for line := range strings.Lines(log) {
			if strings.Contains(line, "nnouncements") || strings.Contains(line, "Server") {
				t.Log(strings.TrimSpace(line))
			}
		}
	}
}
