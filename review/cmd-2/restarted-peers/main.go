// Restarted-peers is a case of the second review: a machine is cut off from the store and the other machines, the store forgets its
// history meanwhile, the other machines are stopped and started in turn, and a server leaves without a word.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"limpethub/platform/standin"
	"limpethub/review/lab"
)

const (
	machines = 3
	servers  = 12
	// rounds is how often all of it comes, each time with another machine and another server.
	rounds = 8
	// heartbeat is how often servers write to the store.
	heartbeat = 1200 * time.Millisecond
	// cutFor is how long the cut lasts, and forgetsAfter when the store forgets its history.
	cutFor       = 9 * time.Second
	forgetsAfter = 2 * time.Second
	// stopsAfter is when the first of the other machines is stopped, and stopsGap the time from its start to the stop of the second.
	stopsAfter = 300 * time.Millisecond
	stopsGap   = time.Second
	// leavesBefore is how long before the end of the cut the server leaves.
	leavesBefore = 2500 * time.Millisecond
	// judgedFor is how long after the end of the cut the server that leaves is watched.
	judgedFor    = 4 * time.Second
	calm         = time.Second
	requestPause = 8 * time.Millisecond
	limit        = 118 * time.Second
)

func main() { lab.Main(limit, run) }

// arrival is a request at the server that leaves. Its id begins with the name of the machine that got it from the client.
type arrival struct {
	id string
	at time.Duration
}

type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(id string, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, arrival{id, at})
}

func run(ctx context.Context, c *lab.Case) (bool, error) {
	store, err := standin.NewStore()
	if err != nil {
		return false, err
	}
	c.AtEnd(store.Close)
	store.Write(standin.ConfigurationKey, standin.Document(1, "desk", standin.Pool{
		Service: "llm", MemoryMB: 200, AdapterSlots: 2, ModelMB: 90, Models: []string{"m1"},
	}))
	var all []*standin.Server
	for n := range servers {
		s, err := standin.NewServer(store, standin.ServerOptions{ID: fmt.Sprintf("desk-%d", n), Service: "desk", Zone: fmt.Sprintf("z%d", n%3)})
		if err != nil {
			return false, err
		}
		c.AtEnd(s.Close)
		all = append(all, s)
	}
	go beat(ctx, all)
	fleet, err := c.Machines(machines, store.Address())
	if err != nil {
		return false, err
	}
	if err := lab.StartAll(ctx, fleet); err != nil {
		return false, err
	}
	for _, m := range fleet {
		go ask(ctx, c, m)
	}
	for n := range rounds {
		lab.Sleep(ctx, calm)
		c.Log("round %d", n+1)
		// The machine that is cut off comes first.
		turned := slices.Concat(fleet[n%machines:], fleet[:n%machines])
		if broken, err := play(ctx, c, store, turned, all[n]); broken || err != nil {
			return broken, err
		}
	}
	return false, nil
}

// play plays the disruptions and judges what the server that leaves has got.
func play(ctx context.Context, c *lab.Case, store *standin.Store, fleet []*lab.Machine, leaver *standin.Server) (bool, error) {
	cut, seen := fleet[0], &arrivals{}
	leaver.OnArrival(func(id string) {
		if id != "" {
			seen.add(id, c.Now())
		}
	})
	// inTouch is from when on each machine is in touch, if something has touched it, by its name.
	inTouch := map[string]time.Duration{}
	began := time.Now()
	wait := func(d time.Duration) { lab.Sleep(ctx, time.Until(began.Add(d))) }
	restarted := make(chan error, 1)
	if c.Trouble {
		if err := cut.Cut(); err != nil {
			return false, err
		}
		go func() { restarted <- restart(ctx, c, fleet, inTouch) }()
		wait(forgetsAfter)
		c.Log("the store forgets its history")
		store.Compact()
		if err := <-restarted; err != nil {
			return false, err
		}
	}
	wait(cutFor - leavesBefore)
	leaver.Withdraw()
	left := c.Now()
	c.Log("server %s leaves: its entry is removed; it goes on serving while it is judged", leaver.ID())
	wait(cutFor)
	if c.Trouble {
		if err := cut.Heal(); err != nil {
			return false, err
		}
		inTouch[cut.Name()] = c.Now() + lab.StableWindow
		c.Log("machine %s is in touch again from %.3f s on", cut.Name(), inTouch[cut.Name()].Seconds())
	}
	lab.Sleep(ctx, judgedFor)
	return judge(c, inTouch, leaver, left, seen), nil
}

// restart stops and starts all machines but the first, one after the other. What it writes to inTouch is read after its end.
func restart(ctx context.Context, c *lab.Case, fleet []*lab.Machine, inTouch map[string]time.Duration) error {
	lab.Sleep(ctx, stopsAfter)
	for _, m := range fleet[1:] {
		settings := filepath.Join(c.Dir, m.Name()+".json")
		c.Log("machine %s gets SIGTERM", m.Name())
		m.Signal(syscall.SIGTERM, true)
		if err := lab.Until(ctx, m.Name()+" has ended", 9*time.Second, func() bool { return !runs(settings) }); err != nil {
			return err
		}
		if err := m.Start(); err != nil {
			return err
		}
		inTouch[m.Name()] = c.Now() + lab.StableWindow
		lab.Sleep(ctx, stopsGap)
	}
	return nil
}

// runs reports whether a process of ours that was started with a settings file is there.
func runs(settings string) bool {
	folders, _ := filepath.Glob("/proc/[0-9]*")
	for _, folder := range folders {
		line, err := os.ReadFile(filepath.Join(folder, "cmdline"))
		if err == nil && bytes.Contains(line, []byte("\x00"+settings+"\x00")) {
			return true
		}
	}
	return false
}

func judge(c *lab.Case, inTouch map[string]time.Duration, leaver *standin.Server, left time.Duration, seen *arrivals) bool {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	broken := 0
	for _, a := range seen.list {
		if a.at <= left {
			continue
		}
		machine, _, _ := strings.Cut(a.id, "-")
		verdict := ""
		if a.at > left+lab.Drain && a.at >= inTouch[machine] {
			broken++
			verdict = "; DRAIN: too late, by a machine in touch"
		}
		c.Log("server %s got request %s from machine %s at %.3f s, %.3f s after its entry was removed%s",
			leaver.ID(), a.id, machine, a.at.Seconds(), (a.at - left).Seconds(), verdict)
	}
	c.Log("%d requests reached the server later than %s after its entry was removed, by machines in touch", broken, lab.Drain)
	return broken > 0
}

// beat writes the servers' heartbeats, one after the other.
func beat(ctx context.Context, all []*standin.Server) {
	for n := 0; lab.Sleep(ctx, heartbeat/servers); n++ {
		all[n%servers].AnnounceIfRunning()
	}
}

// ask sends requests to a machine, whose name begins their ids.
func ask(ctx context.Context, c *lab.Case, m *lab.Machine) {
	caller := standin.NewCaller()
	var mu sync.Mutex
	statuses := map[int]int{}
	c.AtEnd(func() {
		caller.Close()
		mu.Lock()
		defer mu.Unlock()
		c.Log("machine %s was sent requests; answers by status, 0 for none: %v", m.Name(), statuses)
	})
	for n := 0; lab.Sleep(ctx, requestPause); n++ {
		go func() {
			id := fmt.Sprintf("%s-%d", m.Name(), n)
			a := caller.Do(ctx, standin.CallerRequest{Address: m.Front(), Path: standin.SafePath + "x", ID: id, Deadline: 1500 * time.Millisecond}, nil)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.Status]++
		}()
	}
}
