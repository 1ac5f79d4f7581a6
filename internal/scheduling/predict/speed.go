package predict

import "time"

// halfLife is how long it takes for what was learned of one target on one server
// to lose half of its weight against what is known more generally.
const halfLife = 10 * time.Second

// cachedShare is the prefill time with a cached prefix, as a share of that without,
// while none was seen.
const cachedShare = 0.5

// allowance is how many times slower one target or server is believed to be than they
// are in general, in the time for a prompt.
const allowance = 3

// Server is what is learned of a server whatever it runs.
type Server struct {
	step average
}

// ObserveStep takes the duration of a decode step from a server's report.
func (s *Server) ObserveStep(now time.Time, step time.Duration) {
	if step > 0 {
		s.step.add(now, float64(step))
	}
}

// Target is what is learned of a model, adapter or service on all servers.
type Target struct {
	decode  average
	prefill low
	whole   average
	length  average
	// general is what is learned of all targets together; it stands in while nothing is
	// known of this one.
	general *Target
}

// NewTarget makes a target; general is shared by all targets, and nil for the shared
// one itself.
func NewTarget(general *Target) *Target {
	t := &Target{general: general}
	if general == nil {
		t.general = t
	}
	return t
}

// orElse returns the first average, or the second while the first is unknown.
func orElse(first, second *average) *average {
	if first.known() {
		return first
	}
	return second
}

// addBoth takes a sample into two averages, or into one that is given twice.
func addBoth(now time.Time, own, general *average, sample float64) {
	own.add(now, sample)
	if general != own {
		general.add(now, sample)
	}
}

// Speed is what is learned of one target on one server. Durations are in
// nanoseconds, per token where there are tokens.
type Speed struct {
	server *Server
	target *Target
	decode average
	cold   low
	warm   low
	whole  average
}

// NewSpeed makes the speed of a target on a server.
func NewSpeed(server *Server, target *Target) *Speed {
	return &Speed{server: server, target: target}
}

// Sample is a whole answer as it was seen.
type Sample struct {
	PromptTokens int
	// MaxTokens is the most that the answer might have had; 0 for a service call.
	MaxTokens int
	// Tokens is how many came.
	Tokens int
	// Cached is true when the prompt's prefix was expected in the server's cache.
	Cached bool
	// Uncertain is true when a large part of the prompt may have been in the server's
	// cache unknown to this instance, so that the sample tells nothing of its reading.
	Uncertain bool
	// FirstToken is the time from dispatch to the first token.
	FirstToken time.Duration
	// Duration is the time from dispatch to the end.
	Duration time.Duration
}

// Observe learns from a whole answer.
func (s *Speed) Observe(now time.Time, sample Sample) {
	s.whole.add(now, float64(sample.Duration))
	s.target.whole.add(now, float64(sample.Duration))
	if sample.MaxTokens > 0 {
		addBoth(now, &s.target.length, &s.target.general.length, float64(sample.Tokens)/float64(sample.MaxTokens))
	}
	if sample.Tokens > 1 {
		perToken := float64(sample.Duration-sample.FirstToken) / float64(sample.Tokens-1)
		s.decode.add(now, perToken)
		addBoth(now, &s.target.decode, &s.target.general.decode, perToken)
	}
	s.observePrefill(sample)
}

// ObservePart learns from an answer that was cut off after some tokens; spent is the
// time since the first of them.
func (s *Speed) ObservePart(now time.Time, tokens int, spent time.Duration) {
	if tokens > 1 && spent > 0 {
		s.decode.add(now, float64(spent)/float64(tokens-1))
	}
}

// observePrefill learns from the time to the first token, which holds the wait in the
// server too.
func (s *Speed) observePrefill(sample Sample) {
	if sample.PromptTokens <= 0 || sample.FirstToken <= 0 || sample.Uncertain {
		return
	}
	perToken := float64(sample.FirstToken) / float64(sample.PromptTokens)
	if sample.Cached {
		s.warm.add(perToken)
		return
	}
	s.cold.add(perToken)
	s.target.prefill.add(perToken)
	if s.target.general != s.target {
		s.target.general.prefill.add(perToken)
	}
}

// Estimate is a prediction for one request on one server that has room at once.
type Estimate struct {
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// PerToken is the time between tokens.
	PerToken time.Duration
	// Total is the time to the end.
	Total time.Duration
	// Known is false while nothing was learned that the estimate could rest on.
	Known bool
}

// Estimate predicts the duration of a request without a wait.
func (s *Speed) Estimate(now time.Time, promptTokens, maxTokens int, cached bool) Estimate {
	if maxTokens <= 0 {
		return s.estimateWhole(now)
	}
	decode := s.decodePerToken(now)
	prefill := s.prefillPerToken(cached)
	first := time.Duration(prefill * float64(promptTokens))
	rest := time.Duration(decode * s.target.tokens(maxTokens))
	return Estimate{
		FirstToken: first,
		PerToken:   time.Duration(decode),
		Total:      first + rest,
		Known:      decode > 0 && orElse(&s.target.length, &s.target.general.length).known(),
	}
}

// Read predicts how long the server takes to read so many tokens of prompts that it
// doesn't have in its cache.
func (s *Speed) Read(tokens int) time.Duration {
	return time.Duration(s.coldPerToken() * float64(tokens))
}

// For is the predicted time to the end of an answer of the given length.
func (e Estimate) For(tokens int) time.Duration {
	if e.PerToken == 0 || !e.Known {
		return e.Total
	}
	return e.FirstToken + time.Duration(tokens)*e.PerToken
}

func (s *Speed) estimateWhole(now time.Time) Estimate {
	trust := s.whole.trust(now, halfLife)
	mean := trust*s.whole.mean + (1-trust)*s.target.whole.mean
	total := time.Duration(mean)
	return Estimate{FirstToken: total, Total: total, Known: s.target.whole.known()}
}

// decodePerToken blends what was seen here with the server's reported step, or
// with the target's mean elsewhere when the server reports none.
func (s *Speed) decodePerToken(now time.Time) float64 {
	general := s.server.step.mean
	if !s.server.step.known() {
		general = orElse(&s.target.decode, &s.target.general.decode).mean
	}
	trust := s.decode.trust(now, halfLife)
	return trust*s.decode.mean + (1-trust)*general
}

func (s *Speed) prefillPerToken(cached bool) float64 {
	cold := s.coldPerToken()
	if !cached {
		return cold
	}
	if !s.warm.seen {
		return cold * cachedShare
	}
	return min(s.warm.value, cold)
}

// coldPerToken is what is known here, or else of the target, or else of all targets.
// It is bounded by an allowance on the last, since few samples may all hold a wait.
func (s *Speed) coldPerToken() float64 {
	general := s.target.general.prefill.value
	if s.cold.seen {
		return min(s.cold.value, allowance*general)
	}
	if s.target.prefill.seen {
		return min(s.target.prefill.value, allowance*general)
	}
	return general
}

// tokens predicts the length of an answer: the mean share of the most
func (t *Target) tokens(maxTokens int) float64 {
	length := orElse(&t.length, &t.general.length)
	if !length.known() {
		return float64(maxTokens)
	}
	return float64(maxTokens) * min(1, length.mean)
}
