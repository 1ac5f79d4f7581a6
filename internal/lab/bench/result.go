package bench

import (
	"cmp"
	"slices"
	"time"

	"limpethub/internal/lab/load"
	"limpethub/internal/request"
)

// ClassFigures are the figures of one class in one run.
type ClassFigures struct {
	Class      string  `json:"class"`
	Asked      int     `json:"asked"`
	InTime     int     `json:"in_time"`
	Late       int     `json:"late"`
	Attainment float64 `json:"attainment"`
	// Failed counts failures by "code/verdict".
	Failed map[string]int `json:"failed"`
	// P95 times of answers in time, in milliseconds.
	FirstTokenP95    float64 `json:"first_token_p95_ms"`
	BetweenTokensP95 float64 `json:"between_tokens_p95_ms"`
}

// Figures are the figures of one run.
type Figures struct {
	Site   string  `json:"site"`
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	Fault  string  `json:"fault"`
	Seed   uint64  `json:"seed"`

	Classes []ClassFigures `json:"classes"`
	Asked   int            `json:"asked"`
	InTime  int            `json:"in_time"`
	// Attainment is the share of all requests answered in time.
	Attainment float64 `json:"attainment"`
	// InTimePerAccelerator is requests in time a second for each accelerator.
	InTimePerAccelerator float64 `json:"in_time_per_accelerator"`
	FirstTokenP95        float64 `json:"first_token_p95_ms"`
	BetweenTokensP95     float64 `json:"between_tokens_p95_ms"`
	// Moves is loads and unloads that engines began.
	Moves int `json:"moves"`
	// SentPerAsked is how often callers sent; RunsPerAsked how often runs began on
	// servers, each per request asked.
	SentPerAsked float64 `json:"sent_per_asked"`
	RunsPerAsked float64 `json:"runs_per_asked"`
	// Duplicates counts non-idempotent requests that ran more than once, Foreign and
	// Disordered broken answers, Cut answers without end marker or verdict.
	Duplicates int `json:"duplicates"`
	Foreign    int `json:"foreign"`
	Disordered int `json:"disordered"`
	Cut        int `json:"cut"`
	// MemoryViolations counts loads beyond an engine's memory.
	MemoryViolations int `json:"memory_violations"`
	// LoadViolations counts loads beyond the weight store's limits.
	LoadViolations int `json:"load_violations"`
	// Tokens is how many tokens engines generated, DeliveredTokens how many of them
	// belong to answers in time.
	Tokens          int `json:"tokens"`
	DeliveredTokens int `json:"delivered_tokens"`
	// StoreCalls is the key-value service's count of calls.
	StoreCalls int `json:"store_calls"`
	// BusyShare is the machine's; Valid is false when it was too high.
	BusyShare float64 `json:"busy_share"`
	Valid     bool    `json:"valid"`
}

// Broken lists the promises that the run broke.
func (f Figures) Broken() []string {
	var out []string
	note := func(n int, what string) {
		if n > 0 {
			out = append(out, what)
		}
	}
	note(f.Duplicates, "a non-idempotent request ran twice")
	note(f.Foreign, "an answer held a piece of another request's")
	note(f.Disordered, "an answer was out of order")
	note(f.Cut, "an answer was cut without a verdict")
	note(f.MemoryViolations, "an engine's memory was overcommitted")
	note(f.LoadViolations, "the weight store's limits were exceeded")
	return out
}

// wastedShare is the part of generated tokens that belongs to no answer in time.
func (f Figures) wastedShare() float64 {
	return 1 - float64(f.DeliveredTokens)/float64(max(1, f.Tokens))
}

const microsPerMilli = 1000

// percentile95 is the quantile of the latency targets.
const percentile95 = 95

// setResults fills in what callers saw.
func (f *Figures) setResults(r *load.Results, duration time.Duration, accelerators int) {
	total := r.Total()
	f.Asked = total.Asked
	f.InTime = total.InTime
	f.Attainment = total.Attainment()
	f.InTimePerAccelerator = float64(total.InTime) / duration.Seconds() / float64(max(1, accelerators))
	f.FirstTokenP95 = float64(total.FirstToken.ValueAtQuantile(percentile95)) / microsPerMilli
	f.BetweenTokensP95 = float64(total.BetweenTokens.ValueAtQuantile(percentile95)) / microsPerMilli
	f.SentPerAsked = float64(total.Sent) / float64(max(1, total.Asked))
	f.DeliveredTokens = total.Tokens
	f.Foreign = total.Foreign
	f.Disordered = total.Disordered
	f.Cut = total.Cut
	for name, c := range r.Classes {
		f.Classes = append(f.Classes, classFigures(name, c))
	}
	slices.SortFunc(f.Classes, func(a, b ClassFigures) int { return cmp.Compare(a.Class, b.Class) })
}

func classFigures(name string, c *load.ClassResult) ClassFigures {
	out := ClassFigures{
		Class: name, Asked: c.Asked, InTime: c.InTime, Late: c.Late, Attainment: c.Attainment(),
		Failed:           map[string]int{},
		FirstTokenP95:    float64(c.FirstToken.ValueAtQuantile(percentile95)) / microsPerMilli,
		BetweenTokensP95: float64(c.BetweenTokens.ValueAtQuantile(percentile95)) / microsPerMilli,
	}
	for key, n := range c.Failed {
		out.Failed[string(key.Code)+"/"+key.Verdict.String()] += n
	}
	if c.Unreachable > 0 {
		out.Failed["unreachable"] = c.Unreachable
	}
	if c.Cut > 0 {
		out.Failed["cut"] = c.Cut
	}
	return out
}

// siteCounts are what the stand-ins counted up to one moment.
type siteCounts struct{ moves, memoryViolations, loadViolations, storeCalls, tokens int }

func countSite(s *Site) siteCounts {
	var c siteCounts
	for _, e := range s.Engines {
		stats := e.Stats()
		c.moves += stats.Loads + stats.Unloads
		c.memoryViolations += stats.MemoryViolations
		c.tokens += stats.Tokens
	}
	weights := s.Weights.Stats()
	c.loadViolations = weights.RateViolations + weights.OverlapViolations
	c.storeCalls = s.Store.Stats().Received
	return c
}

// setSite fills in what the stand-ins counted since before.
func (f *Figures) setSite(s *Site, before siteCounts, asks []load.Ask) {
	now := countSite(s)
	f.Moves = now.moves - before.moves
	f.MemoryViolations = now.memoryViolations - before.memoryViolations
	f.LoadViolations = now.loadViolations - before.loadViolations
	f.StoreCalls = now.storeCalls - before.storeCalls
	f.Tokens = now.tokens - before.tokens
	runs := runsByAsk(s.RunCounts())
	total := 0
	for _, ask := range asks {
		total += runs[ask.ID]
		if !ask.Idempotent && runs[ask.ID] > 1 {
			f.Duplicates++
		}
	}
	f.RunsPerAsked = float64(total) / float64(max(1, len(asks)))
}

// runsByAsk sums the runs of each request.
func runsByAsk(counts map[request.ID]int) map[request.ID]int {
	out := map[request.ID]int{}
	for id, n := range counts {
		out[load.AskOf(id)] += n
	}
	return out
}
