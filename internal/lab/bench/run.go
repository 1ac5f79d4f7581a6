package bench

import (
	"context"
	"fmt"
	"time"

	"limpethub/internal/lab/load"
	"limpethub/internal/site"
)

// callersPerRun is how many callers a run has.
const callersPerRun = 24

// Scenario is one run.
type Scenario struct {
	Profile Profile
	// Policy is the dotted name of the routing policy.
	Policy string
	// Load is the rate as a multiple of the site's capacity.
	Load float64
	// Fault strikes during the run.
	Fault    Fault
	Seed     uint64
	Duration time.Duration
	// Daemons is how many instances run.
	Daemons int
	// Phase tells several measurements of one site apart.
	Phase int
	// ShiftBy turns the models' popularity by that many ranks.
	ShiftBy int
}

// Fault is something that goes wrong during a run.
type Fault struct {
	Name string
	// Strike is called a quarter into the run; nil means no fault.
	Strike func(s *Site)
}

// Run starts a site, sends the scenario's load and returns the figures.
func Run(ctx context.Context, sc Scenario, newFactory NewFactory) (Figures, error) {
	factory, err := newFactory()
	if err != nil {
		return Figures{}, err
	}
	s, err := StartSite(sc.Profile.SiteOptions())
	if err != nil {
		return Figures{}, err
	}
	defer s.Close()
	if err := s.StartDaemons(ctx, factory, sc.Daemons, sc.Policy, sc.Seed); err != nil {
		return Figures{}, err
	}
	if err := AwaitReady(ctx, s); err != nil {
		return Figures{}, err
	}
	return Measure(ctx, s, sc)
}

// Measure sends a scenario's load to a running site and returns the figures.
func Measure(ctx context.Context, s *Site, sc Scenario) (Figures, error) {
	asks := load.Arrivals(sc.plan(s))
	before := countSite(s)
	busy, err := StartBusyMeter()
	if err != nil {
		return Figures{}, err
	}
	if sc.Fault.Strike != nil {
		timer := time.AfterFunc(sc.Duration/4, func() { sc.Fault.Strike(s) })
		defer timer.Stop()
	}
	results := load.Run(ctx, load.Options{
		Seeds: s.CallerAddresses(), Domains: s.Document.FailureDomains, Callers: callersPerRun,
	}, asks)
	share, err := busy.Share()
	if err != nil {
		return Figures{}, err
	}
	f := Figures{
		Site: sc.Profile.Name, Policy: sc.Policy, Load: sc.Load, Fault: sc.Fault.Name, Seed: sc.Seed,
		BusyShare: share, Valid: share <= MaxBusyShare,
	}
	f.setResults(results, sc.Duration, accelerators(&s.Document))
	f.setSite(s, before, asks)
	return f, ctx.Err()
}

func (sc Scenario) plan(s *Site) load.Plan {
	return load.Plan{
		Shape: sc.Profile.Shape, Document: &s.Document,
		PerSecond: sc.Load * sc.Profile.Capacity(), ServiceFactor: 1,
		Duration: sc.Duration, Callers: callersPerRun, Seed: sc.Seed,
		Label:   fmt.Sprintf("s%d-%d", sc.Seed, sc.Phase),
		ShiftBy: sc.ShiftBy,
	}
}

func accelerators(document *site.Document) int {
	n := 0
	for _, server := range document.Servers {
		n += server.Accelerators
	}
	return n
}
