package predict

const (
	// lowerWeight and higherWeight are the weights of samples below and above the current
	// value.
	lowerWeight  = 0.5
	higherWeight = 0.02
	// maxSampleRatio bounds a sample, as a multiple of the current value.
	maxSampleRatio = 2
)

// lowAverage is an average that follows the low end of its samples. It estimates times
// whose samples include a wait of unknown length, which can only make them longer.
type lowAverage struct {
	value float64
	known bool
}

func (l *lowAverage) add(sample float64) {
	if !l.known {
		l.value, l.known = sample, true
		return
	}
	weight := higherWeight
	if sample < l.value {
		weight = lowerWeight
	}
	l.value += weight * (min(sample, maxSampleRatio*l.value) - l.value)
}
