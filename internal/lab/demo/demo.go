// Package demo shows the system at work in half a minute: a site of stand-ins and
// three entry instances in one process, under load, with a server that leaves, the
// moves that follow, and an instance that is stopped gracefully.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"limpethub/internal/lab/bench"
)

const (
	// load is the share of the site's capacity that the demo asks for.
	load = 0.6
	// duration is how long requests arrive.
	duration = 12 * time.Second
	// instances is how many entry instances run.
	instances = 3
	seed      = 1
	// leavingServer is the backend server that leaves a quarter into the run.
	leavingServer = "drafting-4"
	// drainAfter is the time from then until an instance is stopped.
	drainAfter = 3 * time.Second
	// drainTimeout bounds the planned stop.
	drainTimeout = 20 * time.Second
)

// errBroken means that the demo saw a promise broken.
var errBroken = errors.New("demo: a promise was broken")

// Command is limpethub-lab's demo.
func Command(newFactory bench.NewFactory) *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Serve many models on few accelerators for a few seconds and print what came of it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), cmd.OutOrStdout(), newFactory)
		},
	}
}

func run(ctx context.Context, out io.Writer, newFactory bench.NewFactory) error {
	factory, err := newFactory()
	if err != nil {
		return err
	}
	profile := bench.Rigline()
	options := profile.SiteOptions()
	options.LeaveRoom = true
	s, err := bench.StartSite(options)
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Fprintf(out, "Starting %d entry instances before %d backend servers with %d models and %d adapters.\n",
		instances, len(s.Document.Servers), len(s.Document.Models), len(s.Document.Adapters))
	if err := s.StartDaemons(ctx, factory, instances, "", seed); err != nil {
		return err
	}
	if err := bench.AwaitReady(ctx, s); err != nil {
		return err
	}
	e := &events{out: out}
	figures, err := bench.Measure(ctx, s, bench.Scenario{
		Profile: profile, Load: load, Seed: seed, Duration: duration, Daemons: instances,
		Fault: bench.Fault{Name: "demo", Strike: e.strike},
	})
	if err != nil {
		return err
	}
	e.wait()
	return report(out, s, figures, e.err)
}

// events are what happens during the run.
type events struct {
	out     io.Writer
	pending sync.WaitGroup
	err     error
}

// strike makes a server leave, and stops an instance a little later.
func (e *events) strike(s *bench.Site) {
	fmt.Fprintf(e.out, "Server %s is leaving: it gets no new work, and its models move.\n", leavingServer)
	s.List.SetLeaving(leavingServer, true)
	s.Engines[leavingServer].SetLeaving(true)
	e.pending.Go(func() {
		time.Sleep(drainAfter)
		fmt.Fprintf(e.out, "Instance %s is stopped gracefully.\n", s.DaemonName(0))
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		e.err = s.Daemons[0].Drain(ctx)
	})
}

func (e *events) wait() { e.pending.Wait() }

// report prints the table and fails if a promise was broken.
func report(out io.Writer, s *bench.Site, f bench.Figures, drainErr error) error {
	fmt.Fprintf(out, "\n%-12s %6s %8s %5s %9s %13s %5s %12s %14s\n", "class", "sent", "in time", "late", "not-run", "may-have-run", "ran", "p95 first", "p95 between")
	for _, c := range f.Classes {
		refused := failuresByVerdict(c.Failed)
		fmt.Fprintf(out, "%-12s %6d %8d %5d %9d %13d %5d %9.0f ms %11.0f ms\n", c.Class, c.Asked, c.InTime, c.Late,
			refused["not-run"], refused["may-have-run"], refused["ran"], c.FirstTokenP95, c.BetweenTokensP95)
	}
	peak, size := memoryPeak(s)
	fmt.Fprintf(out, "\nmoves %d; fullest server %d of %d MiB; duplicates of non-idempotent calls %d; machine %.0f %% busy\n",
		f.Moves, peak, size, f.Duplicates, 100*f.BusyShare)
	broken := f.Broken()
	if drainErr != nil {
		broken = append(broken, "the planned stop failed: "+drainErr.Error())
	}
	for _, b := range broken {
		fmt.Fprintln(out, "BROKEN:", b)
	}
	if len(broken) > 0 {
		return errBroken
	}
	fmt.Fprintln(out, "All promises held.")
	return nil
}

// failuresByVerdict sums failures, which are keyed by "code/verdict".
func failuresByVerdict(failed map[string]int) map[string]int {
	out := map[string]int{}
	for key, n := range failed {
		out[key[slices.Index([]byte(key), '/')+1:]] += n
	}
	return out
}

// memoryPeak is the most memory that an engine ever had in use, with its size, in MiB.
func memoryPeak(s *bench.Site) (peak, size int64) {
	for name, e := range s.Engines {
		if stats := e.Stats(); stats.PeakMemoryMB > peak {
			peak, size = stats.PeakMemoryMB, memoryOf(s, name)
		}
	}
	return peak, size
}

func memoryOf(s *bench.Site, name string) int64 {
	for _, server := range s.Document.Servers {
		if server.Name == name {
			return server.MemoryMB
		}
	}
	return 0
}
