// Package load makes seeded, bursty work in the shape of a site, sends it as a good
// caller would, and checks that each answer is whole and the caller's own.
package load

import (
	"math"
	"math/rand/v2"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// Range is a span of numbers, both ends included.
type Range struct{ Min, Max int }

func (r Range) draw(rng *rand.Rand) int { return r.Min + rng.IntN(r.Max-r.Min+1) }

// Mean is the mean of a uniform draw.
func (r Range) Mean() float64 { return float64(r.Min+r.Max) / 2 }

// ClassLoad is the work of one class.
type ClassLoad struct {
	// Class is the class's name in the configuration.
	Class string
	// Share is the part of all model requests that are of the class, 0 to 1.
	Share float64
	// Timeout is the time until the deadline.
	Timeout time.Duration
	// PromptTokens and AnswerTokens are lengths. A prompt holds a shared prefix.
	PromptTokens, AnswerTokens Range
	// PrefixTokens is how long the shared part of a prompt is.
	PrefixTokens int
	// Prefixes is how many shared prefixes each model has.
	Prefixes int
}

// ServiceLoad is the calls of one plain service.
type ServiceLoad struct {
	Service string
	Class   string
	// PerSecond is the mean rate of calls.
	PerSecond float64
	Timeout   time.Duration
	// Idempotent says whether a call may run more than once.
	Idempotent bool
}

// Shape is the work of a site.
type Shape struct {
	Name     string
	Classes  []ClassLoad
	Services []ServiceLoad
	// ZipfExponent is how much more popular the first models are.
	ZipfExponent float64
	// Bursts describes how arrivals cluster.
	Bursts Bursts
}

// Bursts alternates calm and burst phases of exponential length.
type Bursts struct {
	// CalmMean and BurstMean are the mean lengths of the phases.
	CalmMean, BurstMean time.Duration
	// Factor is the rate in a burst relative to that in a calm phase.
	Factor float64
}

// calmRate is the rate in a calm phase for a mean rate of 1.
func (b Bursts) calmRate() float64 {
	total := b.CalmMean.Seconds() + b.BurstMean.Seconds()
	return total / (b.CalmMean.Seconds() + b.Factor*b.BurstMean.Seconds())
}

// ModelTokens is the mean number of answer and prompt tokens of a model request.
func (s Shape) ModelTokens() (answer, prompt float64) {
	for _, c := range s.Classes {
		answer += c.Share * c.AnswerTokens.Mean()
		prompt += c.Share * c.PromptTokens.Mean()
	}
	return answer, prompt
}

// Popularity is each unit's share of all model requests.
func (s Shape) Popularity(document *site.Document) map[modelref.Ref]float64 {
	out := map[modelref.Ref]float64{}
	for _, c := range s.Classes {
		units := unitsOf(document, c.Class)
		for i, weight := range zipf(len(units), s.ZipfExponent) {
			out[units[i].Ref] += c.Share * weight
		}
	}
	return out
}

// unitsOf lists the models and adapters whose requests are of a class, the most
// popular first.
func unitsOf(document *site.Document, class string) []site.Unit {
	var out []site.Unit
	index := document.ClassIndex(class)
	for _, unit := range document.Units() {
		if unit.Class == index {
			out = append(out, unit)
		}
	}
	return out
}

// zipf returns n weights that sum to 1 and fall by rank.
func zipf(n int, exponent float64) []float64 {
	out := make([]float64, n)
	sum := 0.0
	for i := range out {
		out[i] = math.Pow(float64(i+1), -exponent)
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}
