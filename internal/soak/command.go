package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"
)

var (
	errSeedsFailed = errors.New("soak: some seeds failed")
	errBadSeeds    = errors.New("soak: --seeds must be a range FROM-TO, such as 1-50")
)

// largeSize is the size of a run with --large, with largeCallers callers. The number of files
// that one process may have open limits it: the proxies, which all run in this process, have
// about two open for each connection of an instance to a server.
var largeSize = Size{Instances: 60, Plain: 6, Engines: 14, Length: 30 * time.Second}

const largeCallers = 20

// flags holds the values of the command-line flags.
type flags struct {
	seeds, reportDir, scheduleFile string
	seed                           uint64
	minutes                        float64
	instances, parallel            int
	maxShrinkRuns                  int
	large, regressions             bool
	keepAll                        bool
}

// Command returns the command limpethub-soak.
func Command() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:           "limpethub-soak",
		Short:         "Run real daemons under injected faults and check the system's promises",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return f.run(c.Context(), c.OutOrStdout()) },
	}
	set := c.Flags()
	set.StringVar(&f.seeds, "seeds", "", "seeds to run, FROM-TO")
	set.Uint64Var(&f.seed, "seed", 0, "one seed to run")
	set.Float64Var(&f.minutes, "minutes", 0, "run random seeds for this many minutes")
	set.StringVar(&f.scheduleFile, "schedule", "", "report file whose schedule is run instead of the seed's")
	set.StringVar(&f.reportDir, "report", "soak-report", "directory for the logs and schedules of failed seeds")
	set.IntVar(&f.instances, "instances", DefaultSize.Instances, "number of daemons")
	set.IntVar(&f.parallel, "parallel", 2, "number of seeds to run at the same time")
	set.IntVar(&f.maxShrinkRuns, "shrink", 0, "maximum number of extra runs to find a shorter schedule that still fails")
	set.BoolVar(&f.keepAll, "keep", false, "keep the logs of passed seeds too")
	set.BoolVar(&f.regressions, "regressions", false, "run the seeds that failed in the past")
	set.BoolVar(&f.large, "large", false, "run sixty daemons and 20 servers, one seed at a time (overrides --instances and --parallel)")
	return c
}

func (f *flags) run(ctx context.Context, out io.Writer) error {
	options, err := f.options()
	if err != nil {
		return err
	}
	next, err := f.nextSeed()
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "limpethub-soak-")
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if options.Binary, err = Build(ctx, directory); err != nil {
		return err
	}
	r := &seedRunner{flags: f, options: options, directory: directory, out: out, nextSeed: next}
	var wg sync.WaitGroup
	for worker := range max(1, f.parallel) {
		wg.Go(func() { r.runSeeds(ctx, worker) })
	}
	wg.Wait()
	_, _ = fmt.Fprintf(out, "%d seeds run, %d failed\n", r.runCount, len(r.failedSeeds))
	if len(r.failedSeeds) > 0 {
		return fmt.Errorf("%w: %v", errSeedsFailed, r.failedSeeds)
	}
	return ctx.Err()
}

// Build compiles the daemon into a directory and returns the path of the binary.
func Build(ctx context.Context, directory string) (binary string, err error) {
	binary = filepath.Join(directory, "limpethubd")
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, "limpethub/cmd/limpethubd")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("soak: build the daemon: %w: %s", err, output)
	}
	return binary, nil
}

// options returns the options that are the same for all runs. It also sets f.parallel to 1 for
// --large and f.seed to the report's seed for --schedule.
func (f *flags) options() (Options, error) {
	o := Options{Size: DefaultSize, Callers: 2 * f.instances}
	o.Size.Instances = f.instances
	if f.large {
		o.Size, o.Callers, f.parallel = largeSize, largeCallers, 1
	}
	if f.scheduleFile == "" {
		return o, nil
	}
	data, err := os.ReadFile(f.scheduleFile)
	if err != nil {
		return o, fmt.Errorf("soak: %w", err)
	}
	var previous Report
	if err := json.Unmarshal(data, &previous); err != nil {
		return o, fmt.Errorf("soak: %s is not a report: %w", f.scheduleFile, err)
	}
	o.Size, o.Events, f.seed = previous.Size, previous.Events, previous.Seed
	return o, nil
}

// nextSeed returns a function that returns the next seed to run, and false after the last.
func (f *flags) nextSeed() (func() (uint64, bool), error) {
	if f.minutes > 0 {
		end := time.Now().Add(time.Duration(f.minutes * float64(time.Minute)))
		return func() (uint64, bool) { return uint64(rand.Uint32()), time.Now().Before(end) }, nil
	}
	if f.regressions {
		remaining := Regressions
		return func() (seed uint64, more bool) {
			if len(remaining) == 0 {
				return 0, false
			}
			seed, remaining = remaining[0].Seed, remaining[1:]
			return seed, true
		}, nil
	}
	from, to := f.seed, f.seed
	if f.seeds != "" {
		first, last, _ := strings.Cut(f.seeds, "-")
		var err1, err2 error
		from, err1 = strconv.ParseUint(first, 10, 64)
		to, err2 = strconv.ParseUint(last, 10, 64)
		if err1 != nil || err2 != nil || to < from {
			return nil, fmt.Errorf("%w, not %q", errBadSeeds, f.seeds)
		}
	}
	return func() (uint64, bool) {
		from++
		return from - 1, from-1 <= to
	}, nil
}

// seedRunner runs seeds, several at the same time.
type seedRunner struct {
	*flags
	options   Options
	directory string
	out       io.Writer

	mu          sync.Mutex
	nextSeed    func() (uint64, bool)
	runCount    int
	failedSeeds []uint64
}

func (r *seedRunner) runSeeds(ctx context.Context, worker int) {
	for ctx.Err() == nil {
		r.mu.Lock()
		seed, more := r.nextSeed()
		r.mu.Unlock()
		if !more {
			return
		}
		r.runSeed(ctx, seed, worker)
	}
}

// runSeed runs one seed and prints its result. If the run fails, its logs are kept.
func (r *seedRunner) runSeed(ctx context.Context, seed uint64, worker int) {
	o := r.options
	o.Seed, o.Subnet = seed, Subnet(worker)
	o.Dir = filepath.Join(r.directory, fmt.Sprintf("seed-%d", seed))
	start := time.Now()
	report := Run(ctx, o)
	if ctx.Err() != nil {
		return
	}
	if report.Failed() && r.maxShrinkRuns > 0 {
		report = r.shrinkSchedule(ctx, o, report)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runCount++
	result := "passed"
	if report.Failed() {
		result = "FAILED " + report.Failure
		r.failedSeeds = append(r.failedSeeds, seed)
	}
	_, _ = fmt.Fprintf(r.out, "seed %d: %s, %d events, %d requests %v, recovered in %.1f s, %.0f s in total\n",
		seed, result, len(report.Events), report.Tally.Requests, report.Tally.Answers, report.Recovered.Seconds(), time.Since(start).Seconds())
	for _, v := range report.Violations {
		_, _ = fmt.Fprintf(r.out, "  %s\n", v)
	}
	if err := r.keepLogs(o.Dir, seed, report); err != nil {
		_, _ = fmt.Fprintf(r.out, "  keep logs: %v\n", err)
	}
}

// keepLogs copies the logs and the report of a run to the report directory, in place of those of
// an earlier run of the seed. If the run passed and --keep is not set, it removes its logs instead.
func (r *seedRunner) keepLogs(dir string, seed uint64, report Report) error {
	if !report.Failed() && !r.keepAll {
		return os.RemoveAll(dir)
	}
	if err := report.Write(dir); err != nil {
		return err
	}
	to := filepath.Join(r.reportDir, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return os.CopyFS(to, os.DirFS(dir))
}

// shrinkSchedule looks for a shorter schedule that fails too. Each shorter run must break one of
// the promises that the shortest failed run so far broke. It returns the report of the shortest.
func (r *seedRunner) shrinkSchedule(ctx context.Context, o Options, shortest Report) Report {
	brokenBefore := func(v Violation) bool {
		return slices.ContainsFunc(shortest.Violations, func(earlier Violation) bool { return earlier.Promise == v.Promise })
	}
	Shrink(shortest.Events, r.maxShrinkRuns, func(events []Event) bool {
		o.Events = events
		report := Run(ctx, o)
		if ctx.Err() != nil || !slices.ContainsFunc(report.Violations, brokenBefore) {
			return false
		}
		shortest = report
		return true
	})
	return shortest
}

// Subnet returns a number from 1 to 60,000 for Options.Subnet. It depends on the process id
// and the worker, so that concurrent runs on one machine are unlikely to get the same one.
func Subnet(worker int) int { return 1 + (os.Getpid()*17+worker)%60_000 }
