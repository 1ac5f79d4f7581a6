// Command late-load checks that a model server isn't ordered to load more than it holds, where an order is carried out late and the
// server has crashed and started again under its id meanwhile.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"limpethub/review/lab3"
)

const (
	service = "huvo11a"
	path    = "/lohu930/"
	modelMB = 72700
	// perServer is for how many models a server has room.
	perServer = 3
	// serversRemoved and serversHandover are the numbers of model servers: one of them is within the share of srv_crash, 0.17 for 4.5 s
	// and 0.25 for 2 s on tichy-vers.
	serversRemoved, serversHandover = 6, 4
	serverMB                        = 230000
	// lateFor is how long an order stays on its way: "carried out 2 to 12 s later".
	lateFor = 11900 * time.Millisecond
	// lateNumber is the number of the order that is carried out late.
	lateNumber = 3
	// idleFor is for how long nobody asks for a model before another one takes its place.
	idleFor = 3 * time.Second
	// crashAfter is when the server crashes, counted from the arrival of that order.
	crashAfter = 1300 * time.Millisecond
	// darkFor is how long the server is down.
	darkFor = 4400 * time.Millisecond
	// crashAfterHandover and darkForHandover are the same times where the holder is stopped with the crash. The server is back
	// before its entry is removed.
	crashAfterHandover = 5000 * time.Millisecond
	darkForHandover    = 1900 * time.Millisecond
)

var (
	// zones are those of tichy-vers.
	zones = []string{"petrzalka", "ruzinov", "devin"}
	// allNames are the models of six servers, and two more.
	allNames   = []string{"m-a", "m-b", "m-c", "m-d", "m-e", "m-f", "m-g", "m-h", "m-i", "m-j", "m-k", "m-l", "m-m", "m-n", "m-o", "m-p", "m-q", "m-r", "m-s", "m-t"}
	errCantRun = errors.New("the case can't run")
)

func main() {
	if len(os.Args) != 3 || os.Args[2] != "removed" && os.Args[2] != "handover" {
		fmt.Fprintln(os.Stderr, "usage: late-load RECORD removed|handover")
		os.Exit(2)
	}
	broken, err := run(os.Args[1], os.Getenv("TROUBLE") != "0", os.Args[2] == "handover")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		fmt.Println("LIMIT broken")
		os.Exit(1)
	}
	fmt.Println("LIMIT held")
}

// lateOrder is the load that is carried out late.
type lateOrder struct {
	server int
	model  string
	holder string
}

// scene is the deployment with the observed events.
type scene struct {
	record *lab3.Record
	// names are the models. The servers have room for all but the last two.
	names    []string
	engines  []*lab3.Engine
	demand   *lab3.Demand
	daemons  []*lab3.Daemon
	late     chan lateOrder
	overload chan struct{}
}

func run(recordPath string, trouble, handover bool) (broken bool, err error) {
	record, err := lab3.NewRecord(recordPath)
	if err != nil {
		return false, err
	}
	folder, err := os.MkdirTemp("", "late-load-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	servers := serversRemoved
	if handover {
		servers = serversHandover
	}
	s := &scene{record: record, names: allNames[:servers*perServer+2], late: make(chan lateOrder, 1), overload: make(chan struct{})}
	store, err := lab3.NewStore()
	if err != nil {
		return false, err
	}
	if err := s.startEngines(store, trouble); err != nil {
		return false, err
	}
	store.Put("op/config", configuration(s.names))
	addresses, err := lab3.FreeAddresses(len(zones))
	if err != nil {
		return false, err
	}
	ports, err := lab3.FreePorts(addresses)
	if err != nil {
		return false, err
	}
	site := lab3.Site{StoreAddress: store.Address, Ports: ports, Folder: folder}
	for _, address := range addresses {
		site.Seeds = append(site.Seeds, fmt.Sprintf("%s:%d", address, ports.Control))
	}
	var daemons []*lab3.Daemon
	defer func() {
		for _, d := range daemons {
			d.Kill()
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.CopyFS(keep, os.DirFS(folder))
		}
	}()
	for i, address := range addresses {
		d, err := site.Start(address, zones[i])
		if err != nil {
			return false, err
		}
		daemons = append(daemons, d)
	}
	ready := func() bool { return daemons[0].IsReady() && daemons[1].IsReady() && daemons[2].IsReady() }
	if !lab3.WaitFor(15*time.Second, ready) {
		return false, fmt.Errorf("%w: the daemons aren't ready", errCantRun)
	}
	s.daemons = daemons
	s.demand = &lab3.Demand{Daemons: daemons, Path: path, Pause: 100 * time.Millisecond, Record: record}
	s.demand.Want()
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { s.demand.Run(ctx) })
	defer clients.Wait()
	defer cancel()
	return s.play(trouble, handover)
}

// startEngines starts the model servers, which together hold all models but two.
func (s *scene) startEngines(store *lab3.Store, trouble bool) error {
	var models []lab3.Model
	for _, name := range s.names {
		models = append(models, lab3.Model{Name: name, MB: modelMB, Load: 1200 * time.Millisecond, FromDisk: 420 * time.Millisecond, Unload: 50 * time.Millisecond})
	}
	var first, overloaded sync.Once
	for i, id := range []string{"i-7f3a91c2", "i-02d9e6b4", "i-51c07be8", "i-9ae3d410", "i-c2f81b57", "i-e6047d39"}[:(len(s.names)-2)/perServer] {
		engine, err := lab3.NewEngine(lab3.EngineOptions{
			ID: id, Service: service, Zone: zones[i%len(zones)], Store: store, Record: s.record,
			Models: models, WeightsMB: serverMB, Held: s.names[perServer*i : perServer*(i+1)],
			Late: func(o lab3.Order, sequence int64, held []string) (time.Duration, bool) {
				late := false
				if trouble && o.Operation == "load" && sequence == lateNumber && len(held) == 2 {
					first.Do(func() {
						late = true
						s.late <- lateOrder{server: i, model: o.Model, holder: o.Holder}
					})
				}
				return lateFor, late
			},
			OnOverload: func(lab3.Order, []string, float64) { overloaded.Do(func() { close(s.overload) }) },
		})
		if err != nil {
			return err
		}
		s.engines = append(s.engines, engine)
	}
	return nil
}

// play moves the demand from model to model. One that nobody asks for any more gives way each time.
func (s *scene) play(trouble, handover bool) (broken bool, err error) {
	if err := s.serve(s.names[:len(s.names)-2]); err != nil {
		return false, err
	}
	s.demand.Want(without(s.names[:len(s.names)-2], "m-c")...)
	time.Sleep(idleFor)
	if err := s.serve(without(s.names[:len(s.names)-1], "m-c")); err != nil {
		return false, err
	}
	s.demand.Want(without(s.names[:len(s.names)-1], "m-b", "m-c")...)
	time.Sleep(idleFor)
	last := without(s.names, "m-b", "m-c")
	if !trouble {
		if err := s.serve(last); err != nil {
			return false, err
		}
		s.demand.Want(without(s.names[:len(s.names)-1], "m-c")...)
		return s.waitForOverload(20 * time.Second), nil
	}
	s.demand.Want(last...)
	var late lateOrder
	select {
	case late = <-s.late:
	case <-time.After(20 * time.Second):
		return false, fmt.Errorf("%w: no server got a load as its fourth order", errCantRun)
	}
	s.demand.Want(s.wantedAfter(late)...)
	return s.crash(late, handover)
}

// crash crashes the server of the late order and starts it again, and waits until the order has been carried out.
func (s *scene) crash(late lateOrder, handover bool) (broken bool, err error) {
	after, dark := crashAfter, darkFor
	if handover {
		after, dark = crashAfterHandover, darkForHandover
	}
	if text := os.Getenv("DARK"); text != "" {
		if dark, err = time.ParseDuration(text); err != nil {
			return false, err
		}
	}
	time.Sleep(after)
	s.engines[late.server].Crash()
	if handover && os.Getenv("KEEP_HOLDER") == "" {
		s.stopHolder(late.holder)
	}
	time.Sleep(dark)
	if err := s.engines[late.server].StartAgain(); err != nil {
		return false, err
	}
	return s.waitForOverload(lateFor + 3*time.Second - after - dark), nil
}

// stopHolder stops the daemon that gave the late order, as for planned work.
func (s *scene) stopHolder(holder string) {
	for _, d := range s.daemons {
		if d.IP == holder {
			s.record.Line("SIGTERM to the holder %s", holder)
			d.Signal(syscall.SIGTERM)
		}
	}
}

// serve makes clients ask for models, and waits until all are served.
func (s *scene) serve(models []string) error {
	s.demand.Want(models...)
	served := func() bool {
		return !slices.ContainsFunc(models, func(m string) bool { return s.demand.Served(m) == 0 })
	}
	if !lab3.WaitFor(20*time.Second, served) {
		return fmt.Errorf("%w: not all of the models %v are served", errCantRun, models)
	}
	return nil
}

// wantedAfter returns what clients ask for after the crash: what the other servers hold, and as many others as the crashed server
// has room for, first those on its disk, but not the model of the late order.
func (s *scene) wantedAfter(late lateOrder) []string {
	var wanted []string
	for i, engine := range s.engines {
		if held, _ := engine.Held(); i != late.server {
			wanted = append(wanted, held...)
		}
	}
	for _, name := range append(s.engines[late.server].OnDisk(), s.names...) {
		if len(wanted) < len(s.names)-2 && name != late.model && !slices.Contains(wanted, name) {
			wanted = append(wanted, name)
		}
	}
	return wanted
}

func without(all []string, out ...string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(name string) bool { return slices.Contains(out, name) })
}

func (s *scene) waitForOverload(limit time.Duration) bool {
	select {
	case <-s.overload:
		return true
	case <-time.After(limit):
		return false
	}
}

// configuration is op/config of a deployment with one service of model servers.
func configuration(names []string) map[string]any {
	var models []map[string]any
	for _, name := range names {
		models = append(models, map[string]any{
			"name": name, "weights_mb": modelMB, "load_s": 1.2, "adapters": 0, "adapter_mb": 66, "warm_s": 0.32, "disk_s": 0.42,
		})
	}
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": lab3.Host, "path_prefix": path, "kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 800,
			"priority": 1, "service": service, "max_attempts": 2, "session_affinity": true, "resumable": true, "gap_aim_ms": 500,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_tokens": 242653, "kv_bytes": 163840, "stride": 7, "cap": 12, "host_mb": 0, "disk_mb": 440000,
				"models": models, "weights_mb": serverMB, "adapter_slots": 5, "loads_per_s": 2.1,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
