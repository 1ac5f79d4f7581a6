package predict

import "time"

const (
	// referenceSmoothing is the least weight of a new sample. A reference changes slowly: a server's
	// change of speed must show against it before it has become a part of it.
	referenceSmoothing = 0.05
	// referenceSamples is the number of samples that make a reference trusted by half.
	referenceSamples = 4
	// maxReferenceStep bounds a sample, as a multiple of the reference.
	maxReferenceStep = 2
	// minReferenceSamples is the number of samples that aren't bounded, since the first may be unusual.
	minReferenceSamples = 3
)

// Reference holds how long a target takes on a server of usual speed. Unlike the averages that predict
// the course of requests, it is fed with times that were divided by the speed of the server.
type Reference struct {
	// perToken is the time of a decoded token, and whole that of an answer to a plain service.
	perToken, whole typical
	first           line
}

// PerToken returns the usual time of a decoded token, and how much it is trusted, from 0 to 1.
func (r *Reference) PerToken() (time.Duration, float64) { return r.perToken.get() }

// Whole returns the usual time of a whole answer.
func (r *Reference) Whole() (time.Duration, float64) { return r.whole.get() }

// First returns the usual time to the first token after a prompt with the given number of tokens.
func (r *Reference) First(promptTokens int) (time.Duration, float64) {
	return r.first.get(promptTokens)
}

// ObservePerToken records the time of one decoded token on a server of usual speed.
func (r *Reference) ObservePerToken(sample time.Duration) { r.perToken.add(float64(sample)) }

// ObserveWhole records the time of a whole answer on a server of usual speed.
func (r *Reference) ObserveWhole(sample time.Duration) { r.whole.add(float64(sample)) }

// ObserveFirst records the time to the first token of a prompt on a server of usual speed.
func (r *Reference) ObserveFirst(promptTokens int, sample time.Duration) {
	r.first.add(float64(promptTokens), float64(sample))
}

// typical is a slow average of samples in nanoseconds, which outliers hardly move.
type typical struct {
	value   float64
	samples int
}

func (t *typical) add(sample float64) {
	if sample <= 0 {
		return
	}
	if t.samples >= minReferenceSamples {
		sample = bounded(sample, t.value)
	}
	t.samples++
	t.value += max(referenceSmoothing, 1/float64(t.samples)) * (sample - t.value)
}

func (t *typical) get() (time.Duration, float64) {
	return time.Duration(t.value), trust(t.samples)
}

func trust(samples int) float64 { return float64(samples) / float64(samples+referenceSamples) }

func bounded(sample, value float64) float64 {
	return min(max(sample, value/maxReferenceStep), value*maxReferenceStep)
}

// line fits a fixed time and a time per prompt token to times to the first token. A time per token alone
// would make servers with short prompts seem slow.
type line struct {
	weight, tokens, squares, time, product float64
	fewest, most                           float64
	samples                                int
}

func (l *line) add(tokens, sample float64) {
	if tokens <= 0 || sample <= 0 {
		return
	}
	expected := sample
	if l.samples >= minReferenceSamples {
		expected = l.at(tokens)
		sample = bounded(sample, expected)
	}
	if l.samples == 0 {
		l.fewest, l.most = tokens, tokens
	}
	l.fewest, l.most = min(l.fewest, tokens), max(l.most, tokens)
	l.samples++
	keep := 1 - referenceSmoothing/2
	// Errors count relative to the expected time, or long prompts would decide alone.
	weight := 1 / (expected * expected)
	l.weight = keep*l.weight + weight
	l.tokens = keep*l.tokens + weight*tokens
	l.squares = keep*l.squares + weight*tokens*tokens
	l.time = keep*l.time + weight*sample
	l.product = keep*l.product + weight*tokens*sample
}

// minSpread is the least spread of the prompts' lengths, relative to their square, that shows a fixed time.
const minSpread = 0.01

// at returns the fitted time. Neither the fixed time nor that per token is negative.
func (l *line) at(tokens float64) float64 {
	perToken, fixed := l.product/l.squares, 0.0
	determinant := l.weight*l.squares - l.tokens*l.tokens
	if determinant > minSpread*l.weight*l.squares {
		perToken = max(0, (l.weight*l.product-l.tokens*l.time)/determinant)
		fixed = (l.time - perToken*l.tokens) / l.weight
	}
	if fixed < 0 {
		perToken, fixed = l.product/l.squares, 0
	}
	return fixed + perToken*tokens
}

// get doesn't extrapolate far beyond the prompts that were measured.
func (l *line) get(promptTokens int) (time.Duration, float64) {
	tokens := float64(promptTokens)
	if l.samples == 0 || tokens < l.fewest/2 || tokens > l.most*2 {
		return 0, 0
	}
	return time.Duration(l.at(tokens)), trust(l.samples)
}
