// Silent is a case of the review: the open connections to the store go silent, and a server leaves without a word.
package main

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	platform "limpethub/platform/standin"
	"limpethub/review/lab"
)

const (
	machines = 3
	servers  = 48
	// heartbeat is how often servers write to the store.
	heartbeat = 1200 * time.Millisecond
	// leavesAfter is how long after the connections have gone silent the server leaves.
	leavesAfter  = 300 * time.Millisecond
	requestPause = 4 * time.Millisecond
	limit        = 60 * time.Second
)

func main() { lab.Main(limit, run) }

type arrival struct {
	id string
	at time.Duration
}

func run(ctx context.Context, c *lab.Case) (bool, error) {
	store, err := platform.NewStore()
	if err != nil {
		return false, err
	}
	c.AtEnd(store.Close)
	store.Write(platform.ConfigurationKey, platform.Document(1, "desk", platform.Pool{
		Service: "llm", MemoryMB: 200, AdapterSlots: 2, ModelMB: 90, Models: []string{"m1"},
	}))
	var all []*platform.Server
	for n := range servers {
		s, err := platform.NewServer(store, platform.ServerOptions{ID: fmt.Sprintf("desk-%d", n), Service: "desk", Zone: fmt.Sprintf("z%d", n%3)})
		if err != nil {
			return false, err
		}
		c.AtEnd(s.Close)
		all = append(all, s)
	}
	leaver := all[servers-1]
	var mu sync.Mutex
	var arrivals []arrival
	leaver.OnArrival(func(id string) {
		if id == "" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, arrival{id, c.Now()})
	})
	go beat(ctx, all)
	fleet, err := c.Machines(machines, store.Address())
	if err != nil {
		return false, err
	}
	if err := lab.StartAll(ctx, fleet); err != nil {
		return false, err
	}
	for n, m := range fleet {
		go ask(ctx, c, n, m)
	}
	lab.Sleep(ctx, 6*time.Second)
	inTouch := time.Duration(0)
	if c.Trouble {
		c.Log("the open connections of all machines to the store go silent; new ones work")
		for _, m := range fleet {
			m.StoreLink.SilenceOpen()
		}
		inTouch = c.Now() + lab.StableWindow
		c.Log("the machines are in touch again from %.3f s on", inTouch.Seconds())
	}
	lab.Sleep(ctx, leavesAfter)
	leaver.Withdraw()
	left := c.Now()
	c.Log("server %s leaves: its entry is removed; it goes on serving for 8 s", leaver.ID())
	lab.Sleep(ctx, 8*time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for _, a := range arrivals {
		if a.at <= left {
			continue
		}
		late := a.at > left+lab.Drain && a.at >= inTouch
		verdict := ""
		if late {
			broken++
			verdict = "; DRAIN: too late, by a machine in touch"
		}
		c.Log("server %s got request %s from machine %s at %.3f s, %.3f s after its entry was removed%s",
			leaver.ID(), a.id, fleet[a.id[0]-'0'].Name(), a.at.Seconds(), (a.at - left).Seconds(), verdict)
	}
	c.Log("%d requests reached the server later than %s after its entry was removed, by machines in touch", broken, lab.Drain)
	return broken > 0, nil
}

// beat writes the servers' heartbeats, one after the other.
func beat(ctx context.Context, all []*platform.Server) {
	for n := 0; lab.Sleep(ctx, heartbeat/servers); n++ {
		all[n%servers].AnnounceIfRunning()
	}
}

// ask sends requests to a machine, whose number is the first digit of their ids.
func ask(ctx context.Context, c *lab.Case, number int, m *lab.Machine) {
	caller := platform.NewCaller()
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
			id := strconv.Itoa(number) + fmt.Sprintf("%015x", n)
			a := caller.Do(ctx, platform.CallerRequest{Address: m.Front(), Path: platform.SafePath + "x", ID: id, Deadline: 1500 * time.Millisecond}, nil)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.Status]++
		}()
	}
}
