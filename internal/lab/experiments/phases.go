package experiments

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"limpethub/internal/lab/bench"
	"limpethub/internal/lab/standin/kvstore"
)

// phase is one measurement of a site that goes on running.
type phase struct {
	name string
	// before is called before the phase's load begins.
	before  func(s *bench.Site)
	shiftBy int
}

// phaseOptions are the flags of experiments in phases.
type phaseOptions struct {
	site     string
	load     float64
	seed     uint64
	duration time.Duration
	daemons  int
	json     string
	// zipf, if positive, replaces the shape's exponent of popularity.
	zipf float64
	// leaveRoom starts with two copies of each model, so that there is room to move.
	leaveRoom bool
}

func (o *phaseOptions) addFlags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&o.site, "site", "rigline", "shape of the site: rigline or tichy-vers")
	f.Float64Var(&o.load, "load", 0.7, "rate, as a multiple of the capacity")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the run")
	f.DurationVar(&o.duration, "duration", 15*time.Second, "time in which requests arrive, for each phase")
	f.Float64Var(&o.zipf, "zipf", 0, "exponent of the models' popularity; 0 leaves that of the site's shape")
	f.IntVar(&o.daemons, "daemons", 8, "entry instances")
	f.StringVar(&o.json, "json", "", "file for all figures as JSON")
}

// MovesCommand counts moves under steady and under shifting demand.
func MovesCommand(newFactory bench.NewFactory) *cobra.Command {
	o := phaseOptions{leaveRoom: true}
	c := &cobra.Command{
		Use:   "moves",
		Short: "Count moves of models while the demand is steady, shifts, and shifts back",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd.Context(), cmd.OutOrStdout(), newFactory, []phase{
				{name: "steady"},
				{name: "steady-again"},
				{name: "shifted", shiftBy: 7},
				{name: "shifted-on", shiftBy: 7},
				{name: "back"},
			})
		},
	}
	o.addFlags(c)
	return c
}

// OutageCommand measures a site while the key-value service is away.
func OutageCommand(newFactory bench.NewFactory) *cobra.Command {
	o := phaseOptions{}
	c := &cobra.Command{
		Use:   "outage",
		Short: "Measure requests and calls while the key-value service is slow, loses answers, hangs and is down",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd.Context(), cmd.OutOrStdout(), newFactory, []phase{
				{name: "before"},
				{name: "slow", before: withStoreFaults(kvstore.Faults{Slow: time.Second})},
				{name: "answers-lost", before: withStoreFaults(kvstore.Faults{LoseAnswers: true})},
				{name: "hangs", before: withStoreFaults(kvstore.Faults{Hang: true})},
				{name: "down", before: withStoreFaults(kvstore.Faults{Down: true})},
				{name: "down, an instance killed", before: func(s *bench.Site) { s.Daemons[0].Kill() }},
				{name: "after", before: withStoreFaults(kvstore.Faults{})},
			})
		},
	}
	o.addFlags(c)
	return c
}

func withStoreFaults(f kvstore.Faults) func(*bench.Site) {
	return func(s *bench.Site) { s.Store.SetFaults(f) }
}

func (o phaseOptions) run(ctx context.Context, out io.Writer, newFactory bench.NewFactory, phases []phase) error {
	profile, err := profileByName(o.site)
	if err != nil {
		return err
	}
	if o.zipf > 0 {
		profile.Shape.ZipfExponent = o.zipf
	}
	factory, err := newFactory()
	if err != nil {
		return err
	}
	siteOptions := profile.SiteOptions()
	siteOptions.LeaveRoom = o.leaveRoom
	s, err := bench.StartSite(siteOptions)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.StartDaemons(ctx, factory, o.daemons, "", o.seed); err != nil {
		return err
	}
	if err := bench.AwaitReady(ctx, s); err != nil {
		return err
	}
	var runs []bench.Figures
	for i, p := range phases {
		f, err := o.measure(ctx, s, profile, i, p)
		if err != nil {
			return err
		}
		o.print(out, f)
		runs = append(runs, f)
	}
	if o.json == "" {
		return nil
	}
	return writeFile(o.json, func(w io.Writer) error { return bench.WriteJSON(w, runs, bench.Summarize(runs)) })
}

func (o phaseOptions) measure(ctx context.Context, s *bench.Site, profile bench.Profile, i int, p phase) (bench.Figures, error) {
	if p.before != nil {
		p.before(s)
	}
	f, err := bench.Measure(ctx, s, bench.Scenario{
		Profile: profile, Load: o.load, Seed: o.seed + uint64(i), Duration: o.duration,
		Daemons: o.daemons, Phase: i, ShiftBy: p.shiftBy,
	})
	f.Fault = p.name
	return f, err
}

// print writes one phase's figures.
func (o phaseOptions) print(out io.Writer, f bench.Figures) {
	_, _ = fmt.Fprintf(out, "%s: asked %d, in time %.3f, first token p95 %.0f ms, between p95 %.0f ms, moves %d, memory violations %d, "+
		"load violations %d, duplicates %d, store calls %.1f a second and instance, machine %.2f busy, valid %v\n",
		f.Fault, f.Asked, f.Attainment, f.FirstTokenP95, f.BetweenTokensP95, f.Moves, f.MemoryViolations,
		f.LoadViolations, f.Duplicates, float64(f.StoreCalls)/o.duration.Seconds()/float64(o.daemons), f.BusyShare, f.Valid)
	for _, c := range f.Classes {
		_, _ = fmt.Fprintf(out, "  %s: asked %d, in time %.3f, late %d, failed %v\n", c.Class, c.Asked, c.Attainment, c.Late, c.Failed)
	}
	for _, broken := range f.Broken() {
		_, _ = fmt.Fprintln(out, "  BROKEN:", broken)
	}
}
