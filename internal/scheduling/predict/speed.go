package predict

import "time"

// halfLife is the time in which the samples of one target on one server lose half of their
// weight against more general estimates.
const halfLife = 10 * time.Second

// defaultCachedShare is the assumed prefill time with a cached prefix, as a share of the
// time without one, until there is a sample with a cached prefix.
const defaultCachedShare = 0.5

// maxPrefillRatio bounds the prefill time per token of one target or server, as a multiple
// of that of all targets together.
const maxPrefillRatio = 3

// Server holds what was learned of a server, independent of the target.
type Server struct {
	decodeStep average
}

// ReportsStep reports whether the server's reports tell how fast it is.
func (s *Server) ReportsStep() bool { return s.decodeStep.known() }

// ObserveStep takes the duration of a decode step from a server's report; 0 means that the
// server doesn't report it.
func (s *Server) ObserveStep(now time.Time, step time.Duration) {
	if step > 0 {
		s.decodeStep.add(now, float64(step))
	}
}

// Target holds what was learned of a model, adapter or service on all servers.
type Target struct {
	// decode and prefill are nanoseconds per token.
	decode  average
	prefill lowAverage
	// duration is the duration of whole answers in nanoseconds.
	duration average
	// lengthShare is the length of answers as a share of the requests' maximum.
	lengthShare average
	// aggregate holds what was learned of all targets together. It is used while nothing
	// is known of this one.
	aggregate *Target
	reference Reference
}

// Reference returns how long the target takes on a server of usual speed.
func (t *Target) Reference() *Reference { return &t.reference }

// NewTarget returns a target without samples. All targets share one aggregate, which is
// itself made by NewTarget(nil).
func NewTarget(aggregate *Target) *Target {
	t := &Target{aggregate: aggregate}
	if aggregate == nil {
		t.aggregate = t
	}
	return t
}

// firstKnown returns the first average if it has a sample, and the second otherwise.
func firstKnown(first, second *average) *average {
	if first.known() {
		return first
	}
	return second
}

// addToBoth adds a sample to a target's own average and to the aggregate's, or once if they
// are the same.
func addToBoth(now time.Time, own, aggregate *average, sample float64) {
	own.add(now, sample)
	if aggregate != own {
		aggregate.add(now, sample)
	}
}

// Speed holds what was learned of one target on one server. Durations are in nanoseconds;
// decode and prefill times are per token.
type Speed struct {
	server          *Server
	target          *Target
	decode          average
	uncachedPrefill lowAverage
	cachedPrefill   lowAverage
	duration        average
}

// NewSpeed returns a Speed without samples for a target on a server.
func NewSpeed(server *Server, target *Target) *Speed {
	return &Speed{server: server, target: target}
}

// Sample describes a completed answer.
type Sample struct {
	PromptTokens int
	// MaxTokens is the maximum length that the request allowed; 0 for a service call.
	MaxTokens int
	// Tokens is how many tokens the answer had.
	Tokens int
	// Cached is true if the prompt's prefix was expected in the server's cache.
	Cached bool
	// MayBeCached is true if a large part of the prompt may have been in the server's cache
	// without this instance's knowledge. Such a sample says nothing about prefill times.
	MayBeCached bool
	// FirstToken is the time from dispatch to the first token.
	FirstToken time.Duration
	// Duration is the time from dispatch to the end of the answer.
	Duration time.Duration
	// ServerFactor is how long the server takes, as a multiple of what is usual in its service. If it
	// isn't 1, the sample only says something about the target: the times are divided by it.
	ServerFactor float64
}

// Observe learns from a completed answer.
func (s *Speed) Observe(now time.Time, sample Sample) {
	if sample.ServerFactor > 0 && sample.ServerFactor != 1 {
		sample.FirstToken = scaled(sample.FirstToken, 1/sample.ServerFactor)
		sample.Duration = scaled(sample.Duration, 1/sample.ServerFactor)
		unused := NewSpeed(s.server, s.target)
		unused.observe(now, sample)
		return
	}
	s.observe(now, sample)
}

// Forget drops the samples of this server. They don't count for another speed of the server.
func (s *Speed) Forget() { *s = *NewSpeed(s.server, s.target) }

func (s *Speed) observe(now time.Time, sample Sample) {
	s.duration.add(now, float64(sample.Duration))
	s.target.duration.add(now, float64(sample.Duration))
	if sample.MaxTokens > 0 {
		addToBoth(now, &s.target.lengthShare, &s.target.aggregate.lengthShare, float64(sample.Tokens)/float64(sample.MaxTokens))
	}
	if sample.Tokens > 1 {
		perToken := float64(sample.Duration-sample.FirstToken) / float64(sample.Tokens-1)
		s.decode.add(now, perToken)
		addToBoth(now, &s.target.decode, &s.target.aggregate.decode, perToken)
	}
	s.observePrefill(sample)
}

// ObserveIncomplete learns the decode time from an answer that ended early, such as after a
// cancellation. decodeTime is the time since the answer's first token.
func (s *Speed) ObserveIncomplete(now time.Time, tokens int, decodeTime time.Duration) {
	if tokens > 1 && decodeTime > 0 {
		s.decode.add(now, float64(decodeTime)/float64(tokens-1))
	}
}

// observePrefill learns from the time to the first token, which also includes the wait in
// the server.
func (s *Speed) observePrefill(sample Sample) {
	if sample.PromptTokens <= 0 || sample.FirstToken <= 0 || sample.MayBeCached {
		return
	}
	perToken := float64(sample.FirstToken) / float64(sample.PromptTokens)
	if sample.Cached {
		s.cachedPrefill.add(perToken)
		return
	}
	s.uncachedPrefill.add(perToken)
	s.target.prefill.add(perToken)
	if s.target.aggregate != s.target {
		s.target.aggregate.prefill.add(perToken)
	}
}

// Estimate is the predicted course of a request on a server that starts it at once.
type Estimate struct {
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// PerToken is the time between tokens.
	PerToken time.Duration
	// Total is the time to the end of the answer.
	Total time.Duration
	// Known is false until there are samples to predict from.
	Known bool
}

// Estimate predicts the course of a request, without a wait in the server. For a service call,
// with a maxTokens of 0, the duration is the mean of whole answers. A service sends its answer
// as a whole, so the first token then comes at the end.
func (s *Speed) Estimate(now time.Time, promptTokens, maxTokens int, cached bool) Estimate {
	if maxTokens <= 0 {
		return s.estimateDuration(now)
	}
	decode := s.decodePerToken(now)
	prefill := s.prefillPerToken(cached)
	first := time.Duration(prefill * float64(promptTokens))
	rest := time.Duration(decode * s.target.expectedTokens(maxTokens))
	return Estimate{
		FirstToken: first,
		PerToken:   time.Duration(decode),
		Total:      first + rest,
		Known:      decode > 0 && firstKnown(&s.target.lengthShare, &s.target.aggregate.lengthShare).known(),
	}
}

// PrefillTime predicts how long the server needs to prefill prompt tokens that aren't in its cache.
func (s *Speed) PrefillTime(tokens int) time.Duration {
	return time.Duration(s.uncachedPrefillPerToken() * float64(tokens))
}

// Scaled returns the estimate for a server that takes the given multiple of the time.
func (e Estimate) Scaled(factor float64) Estimate {
	if factor == 1 {
		return e
	}
	e.FirstToken = scaled(e.FirstToken, factor)
	e.PerToken = scaled(e.PerToken, factor)
	e.Total = scaled(e.Total, factor)
	return e
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// TotalFor returns the predicted time to the end of an answer with the given number of tokens.
func (e Estimate) TotalFor(tokens int) time.Duration {
	if e.PerToken == 0 || !e.Known {
		return e.Total
	}
	return e.FirstToken + time.Duration(tokens)*e.PerToken
}

func (s *Speed) estimateDuration(now time.Time) Estimate {
	weight := s.duration.weight(now, halfLife)
	mean := weight*s.duration.mean + (1-weight)*s.target.duration.mean
	total := time.Duration(mean)
	return Estimate{FirstToken: total, Total: total, Known: s.target.duration.known()}
}

// decodePerToken weighs the samples of the target on this server against the decode step in
// the server's reports, or against the target's mean on all servers if there is none.
func (s *Speed) decodePerToken(now time.Time) float64 {
	fallback := s.server.decodeStep.mean
	if !s.server.decodeStep.known() {
		fallback = firstKnown(&s.target.decode, &s.target.aggregate.decode).mean
	}
	weight := s.decode.weight(now, halfLife)
	return weight*s.decode.mean + (1-weight)*fallback
}

func (s *Speed) prefillPerToken(cached bool) float64 {
	uncached := s.uncachedPrefillPerToken()
	if !cached {
		return uncached
	}
	if !s.cachedPrefill.known {
		return uncached * defaultCachedShare
	}
	return min(s.cachedPrefill.value, uncached)
}

// uncachedPrefillPerToken returns the prefill time of the target on this server, or else that
// of the target on all servers, or else that of all targets. The result is bounded by a
// multiple of the time of all targets: if there are few samples, each of them may include a
// wait in the server.
func (s *Speed) uncachedPrefillPerToken() float64 {
	aggregate := s.target.aggregate.prefill.value
	if s.uncachedPrefill.known {
		return min(s.uncachedPrefill.value, maxPrefillRatio*aggregate)
	}
	if s.target.prefill.known {
		return min(s.target.prefill.value, maxPrefillRatio*aggregate)
	}
	return aggregate
}

// expectedTokens predicts the length of an answer as the mean share of the allowed maximum;
// without samples it is the maximum.
func (t *Target) expectedTokens(maxTokens int) float64 {
	share := firstKnown(&t.lengthShare, &t.aggregate.lengthShare)
	if !share.known() {
		return float64(maxTokens)
	}
	return float64(maxTokens) * min(1, share.mean)
}
