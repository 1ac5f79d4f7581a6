package pace

import (
	"math"
	"time"
)

const (
	// recentHalfLife is the time in which samples lose half of their weight while there are many. It is
	// longer than a disturbance of some hundred milliseconds and short enough to follow a change within
	// two seconds.
	recentHalfLife = 700 * time.Millisecond
	// lastingWeight is the weight that decays only slowly: what few samples show isn't forgotten as fast as
	// what can soon be measured again.
	lastingWeight = 3
	// priorWeight is the weight of the assumption that nothing differs, against which samples count.
	priorWeight = 1
	// maxStep bounds how far a sample may lie from the average, in logarithms. It limits the effect of an
	// outlier to that of a sample that is twice as long as usual.
	maxStep = 0.7
	// maxLogarithm bounds an average: a server counts as at most eight times as slow or fast.
	maxLogarithm = 2.08
)

// cell is a decaying average of the logarithms of ratios.
type cell struct {
	weight, sum float64
	// load is the sum of the samples' loads, weighted like sum.
	load float64
	at   time.Time
}

// decay reduces the weight of the samples: with recentHalfLife down to lastingWeight, and from there with
// the given half-life.
func (c *cell) decay(now time.Time, lasting time.Duration) {
	elapsed := now.Sub(c.at)
	if elapsed <= 0 {
		return
	}
	c.at = now
	if c.weight <= 0 {
		return
	}
	weight := c.weight
	if weight > lastingWeight {
		toLasting := time.Duration(math.Log2(weight/lastingWeight) * float64(recentHalfLife))
		fast := min(elapsed, toLasting)
		weight *= halved(fast, recentHalfLife)
		elapsed -= fast
	}
	weight *= halved(elapsed, lasting)
	c.scale(weight / c.weight)
}

func halved(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

func (c *cell) scale(factor float64) {
	c.weight *= factor
	c.sum *= factor
	c.load *= factor
}

// add adds a sample. It is bounded by its distance from the average, and so is the average.
func (c *cell) add(logarithm, load, weight float64) {
	mean := c.mean()
	logarithm = min(max(logarithm, mean-maxStep), mean+maxStep)
	logarithm = min(max(logarithm, -maxLogarithm), maxLogarithm)
	c.weight += weight
	c.sum += weight * logarithm
	c.load += weight * load
}

// mean returns the average of the samples; 0 if there are none.
func (c *cell) mean() float64 {
	if c.weight <= 0 {
		return 0
	}
	return c.sum / c.weight
}

func (c *cell) meanLoad() float64 {
	if c.weight <= 0 {
		return 0
	}
	return c.load / c.weight
}

// confidence returns how much the average counts against the assumption that nothing differs, from 0 to 1.
func (c *cell) confidence() float64 { return c.weight / (c.weight + priorWeight) }
