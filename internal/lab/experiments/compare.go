package experiments

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"limpethub/internal/lab/bench"
)

// compareOptions are the flags of compare.
type compareOptions struct {
	site     string
	loads    []float64
	policies []string
	faults   []string
	repeats  int
	seed     uint64
	duration time.Duration
	daemons  int
	json     string
	svg      string
}

// CompareCommand runs each policy on the same arrivals.
func CompareCommand(newFactory bench.NewFactory) *cobra.Command {
	o := compareOptions{}
	c := &cobra.Command{
		Use:   "compare",
		Short: "Compare routing policies on the same arrivals",
		Long: "Compare runs each policy in turn on the same seeded, bursty arrivals: entry instances,\n" +
			"stand-in engines and callers in one process, over loopback. Runs in which the machine\n" +
			"was more than half busy are left out and counted as invalid.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd.Context(), cmd.OutOrStdout(), newFactory) },
	}
	f := c.Flags()
	f.StringVar(&o.site, "site", "rigline", "shape of the site: rigline or tichy-vers")
	f.Float64SliceVar(&o.loads, "loads", []float64{0.7, 1.0, 1.3, 1.6}, "rates, as multiples of the capacity")
	f.StringSliceVar(&o.policies, "policies", []string{"routing.deadline", "routing.round-robin", "routing.random-of-two", "routing.least-outstanding"}, "routing policies")
	f.StringSliceVar(&o.faults, "faults", []string{noFault}, fmt.Sprintf("faults, of %v", faultNames()))
	f.IntVar(&o.repeats, "repeats", 3, "runs of each point, each with a seed of its own")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the first run")
	f.DurationVar(&o.duration, "duration", 16*time.Second, "time in which requests arrive")
	f.IntVar(&o.daemons, "daemons", 8, "entry instances")
	f.StringVar(&o.json, "json", "", "file for all figures as JSON")
	f.StringVar(&o.svg, "svg", "", "file for a plot of attainment over load")
	return c
}

func (o compareOptions) run(ctx context.Context, out io.Writer, newFactory bench.NewFactory) error {
	scenarios, err := o.scenarios()
	if err != nil {
		return err
	}
	var runs []bench.Figures
	for i, sc := range scenarios {
		f, err := bench.Run(ctx, sc, newFactory)
		if err != nil {
			return fmt.Errorf("experiments: run %d: %w", i+1, err)
		}
		_, _ = fmt.Fprintf(out, "run %d of %d: load %.1f, fault %q, %s, seed %d: attained %.3f, machine %.2f busy\n",
			i+1, len(scenarios), f.Load, f.Fault, f.Policy, f.Seed, f.Attainment, f.BusyShare)
		for _, broken := range f.Broken() {
			_, _ = fmt.Fprintln(out, "BROKEN:", broken)
		}
		runs = append(runs, f)
	}
	return o.write(out, scenarios[0].Profile, runs)
}

// scenarios lists the runs, policies in turns, so that a change in the machine over
// time falls on all of them.
func (o compareOptions) scenarios() ([]bench.Scenario, error) {
	profile, err := profileByName(o.site)
	if err != nil {
		return nil, err
	}
	var out []bench.Scenario
	for repeat := range o.repeats {
		for _, name := range o.faults {
			fault, err := faultByName(name)
			if err != nil {
				return nil, err
			}
			for _, load := range o.loads {
				for _, policy := range o.policies {
					out = append(out, bench.Scenario{
						Profile: profile, Policy: policy, Load: load, Fault: fault,
						Seed: o.seed + uint64(repeat), Duration: o.duration, Daemons: o.daemons,
					})
				}
			}
		}
	}
	return out, nil
}

func (o compareOptions) write(out io.Writer, profile bench.Profile, runs []bench.Figures) error {
	summaries := bench.Summarize(runs)
	if err := bench.WriteTable(out, summaries, classesOf(profile)); err != nil {
		return err
	}
	for _, s := range summaries {
		_, _ = fmt.Fprintf(out, "failures: load %.1f, fault %q, %s: %v\n", s.Load, s.Fault, s.Policy, s.Failed)
	}
	if o.json != "" {
		err := writeFile(o.json, func(w io.Writer) error { return bench.WriteJSON(w, runs, summaries) })
		if err != nil {
			return err
		}
	}
	if o.svg == "" {
		return nil
	}
	return writeFile(o.svg, func(w io.Writer) error {
		value := func(s bench.Summary) bench.Spread { return s.InTimePerAccelerator }
		return bench.WriteSVG(w, profile.Name, "requests in time per second and accelerator", summaries, value)
	})
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("experiments: %w", err)
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
