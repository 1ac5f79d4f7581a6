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
	errFailed   = errors.New("soak: some seeds failed")
	errBadSeeds = errors.New("soak: --seeds takes FROM-TO, such as 1-50")
)

// largeSize is the profile that goes up to the machine's limits, with largeCallers. All
// proxies share the soak's own open files: some two for each connection of an instance to
// a server.
var largeSize = Size{Instances: 60, Plain: 6, Engines: 14, Length: 30 * time.Second}

const largeCallers = 20

// flags are what the command line says.
type flags struct {
	seeds, report, schedule string
	seed                    uint64
	minutes                 float64
	instances, parallel     int
	shrink                  int
	large, regressions      bool
	keepAll                 bool
}

// Command is the command line of the soak.
func Command() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:           "limpethub-soak",
		Short:         "Real daemons under faults from outside, with promises checked meanwhile",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return f.run(c.Context(), c.OutOrStdout()) },
	}
	set := c.Flags()
	set.StringVar(&f.seeds, "seeds", "", "seeds to play, FROM-TO")
	set.Uint64Var(&f.seed, "seed", 0, "one seed to play again")
	set.Float64Var(&f.minutes, "minutes", 0, "play fresh seeds for so long")
	set.StringVar(&f.schedule, "schedule", "", "a report's file whose schedule is played instead of the seed's")
	set.StringVar(&f.report, "report", "soak-report", "folder for the logs and schedules of seeds that failed")
	set.IntVar(&f.instances, "instances", DefaultSize.Instances, "how many daemons")
	set.IntVar(&f.parallel, "parallel", 2, "how many seeds at the same time")
	set.IntVar(&f.shrink, "shrink", 0, "how many plays to spend on a shorter schedule that still fails")
	set.BoolVar(&f.keepAll, "keep", false, "keep the logs of seeds that passed too")
	set.BoolVar(&f.regressions, "regressions", false, "play the seeds that failed before")
	set.BoolVar(&f.large, "large", false, "sixty daemons")
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
	p := &player{flags: f, options: options, directory: directory, out: out, next: next}
	var all sync.WaitGroup
	for slot := range max(1, f.parallel) {
		all.Go(func() { p.loop(ctx, slot) })
	}
	all.Wait()
	_, _ = fmt.Fprintf(out, "%d seeds played, %d failed\n", p.played, len(p.failed))
	if len(p.failed) > 0 {
		return fmt.Errorf("%w: %v", errFailed, p.failed)
	}
	return ctx.Err()
}

// Build makes the daemon's program in a folder.
func Build(ctx context.Context, directory string) (binary string, err error) {
	binary = filepath.Join(directory, "limpethubd")
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, "limpethub/cmd/limpethubd")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("soak: build the daemon: %w: %s", err, output)
	}
	return binary, nil
}

func (f *flags) options() (Options, error) {
	o := Options{Size: DefaultSize, Callers: 2 * f.instances}
	o.Size.Instances = f.instances
	if f.large {
		o.Size, o.Callers, f.parallel = largeSize, largeCallers, 1
	}
	if f.schedule == "" {
		return o, nil
	}
	data, err := os.ReadFile(f.schedule)
	if err != nil {
		return o, fmt.Errorf("soak: %w", err)
	}
	var earlier Report
	if err := json.Unmarshal(data, &earlier); err != nil {
		return o, fmt.Errorf("soak: %s is no report: %w", f.schedule, err)
	}
	o.Size, o.Events, f.seed = earlier.Size, earlier.Events, earlier.Seed
	return o, nil
}

// nextSeed returns a function that gives the seeds to play, one after the other.
func (f *flags) nextSeed() (func() (uint64, bool), error) {
	if f.minutes > 0 {
		end := time.Now().Add(time.Duration(f.minutes * float64(time.Minute)))
		return func() (uint64, bool) { return uint64(rand.Uint32()), time.Now().Before(end) }, nil
	}
	if f.regressions {
		left := Regressions
		return func() (seed uint64, more bool) {
			if len(left) == 0 {
				return 0, false
			}
			seed, left = left[0].Seed, left[1:]
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

// player plays seeds at the same time.
type player struct {
	*flags
	options   Options
	directory string
	out       io.Writer

	mu     sync.Mutex
	next   func() (uint64, bool)
	played int
	failed []uint64
}

func (p *player) loop(ctx context.Context, slot int) {
	for ctx.Err() == nil {
		p.mu.Lock()
		seed, more := p.next()
		p.mu.Unlock()
		if !more {
			return
		}
		p.play(ctx, seed, slot)
	}
}

// play plays one seed, and keeps what shows the cause if it fails.
func (p *player) play(ctx context.Context, seed uint64, slot int) {
	o := p.options
	o.Seed, o.Subnet = seed, Subnet(slot)
	o.Dir = filepath.Join(p.directory, fmt.Sprintf("seed-%d", seed))
	began := time.Now()
	report := Run(ctx, o)
	if ctx.Err() != nil {
		return
	}
	if report.Failed() && p.shrink > 0 {
		report = p.shorter(ctx, o, report)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.played++
	verdict := "passed"
	if report.Failed() {
		verdict = "FAILED " + report.Failure
		p.failed = append(p.failed, seed)
	}
	_, _ = fmt.Fprintf(p.out, "seed %d: %s, %d events, %d requests %v, recovered in %.1f s, %.0f s\n",
		seed, verdict, len(report.Events), report.Tally.Requests, report.Tally.Answers, report.Recovered.Seconds(), time.Since(began).Seconds())
	for _, v := range report.Violations {
		_, _ = fmt.Fprintf(p.out, "  %s\n", v)
	}
	if err := p.keep(o.Dir, seed, report); err != nil {
		_, _ = fmt.Fprintf(p.out, "  %v\n", err)
	}
}

// keep moves the logs of a failed run to the report's folder, and drops those of others.
func (p *player) keep(dir string, seed uint64, report Report) error {
	if !report.Failed() && !p.keepAll {
		return os.RemoveAll(dir)
	}
	if err := report.Write(dir); err != nil {
		return err
	}
	to := filepath.Join(p.report, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return os.CopyFS(to, os.DirFS(dir))
}

// shorter looks for a shorter schedule on which one of the same promises is broken.
func (p *player) shorter(ctx context.Context, o Options, failed Report) Report {
	same := func(v Violation) bool {
		return slices.ContainsFunc(failed.Violations, func(first Violation) bool { return first.Promise == v.Promise })
	}
	Shrink(failed.Events, p.shrink, func(events []Event) bool {
		o.Events = events
		report := Run(ctx, o)
		if ctx.Err() != nil || !slices.ContainsFunc(report.Violations, same) {
			return false
		}
		failed = report
		return true
	})
	return failed
}

// Subnet is a number for the addresses of one run, which others on the machine hardly
// have at the same time.
func Subnet(slot int) int { return 1 + (os.Getpid()*17+slot)%60_000 }
