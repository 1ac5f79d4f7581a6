// Package lateness measures by how much a process runs late, as it does without enough processor time.
//
// It looks at two things, since the Go scheduler doesn't treat them alike: ticks of a timer, and bytes that arrive at a
// file descriptor. While goroutines of the process keep making each other runnable, those that wait for input can be late
// by far more than timers are.
package lateness

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"limpethub/internal/logging"
)

const (
	// Period is the time between two measurements.
	Period = 100 * time.Millisecond
	// weight is the weight of the last measurement in the mean.
	weight = 0.25
	// loggedLateness is the lateness from which a measurement is logged, and logPeriod the shortest time between two lines.
	loggedLateness = 250 * time.Millisecond
	logPeriod      = time.Second
	// stampBytes is the size of a time that is written to the input.
	stampBytes = 8
)

// Meter measures the lateness of a process. It is safe for concurrent use.
type Meter struct {
	logger        *logrus.Entry
	ticks, inputs prometheus.Histogram

	mu       sync.Mutex
	mean     time.Duration
	last     time.Time
	loggedAt time.Time
	// tickLate and inputLate are the longest ones since the last line.
	tickLate, inputLate time.Duration
}

// New returns a Meter that logs what is very late; a nil logger means no log.
func New(logger *logrus.Entry) *Meter {
	if logger == nil {
		logger = logging.Discard()
	}
	histogram := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: name, Help: help, Buckets: []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5},
		})
	}
	return &Meter{
		logger: logger,
		ticks:  histogram("limpethub_process_tick_lateness_seconds", "By how much a tick each 100 ms came late, in seconds."),
		inputs: histogram("limpethub_process_input_lateness_seconds", "How long a byte that is written each 100 ms waits in a pipe until this process reads it, in seconds."),
	}
}

// Collectors returns the metrics.
func (m *Meter) Collectors() []prometheus.Collector { return []prometheus.Collector{m.ticks, m.inputs} }

// Observe takes the time of a tick, which was due one Period after the last one.
func (m *Meter) Observe(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.last.IsZero() {
		late := max(0, now.Sub(m.last)-Period)
		m.mean += time.Duration(weight * float64(late-m.mean))
		m.tickLate = max(m.tickLate, late)
		m.ticks.Observe(late.Seconds())
	}
	m.last = now
	m.log(now)
}

func (m *Meter) observeInput(now time.Time, late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inputLate = max(m.inputLate, late)
	m.inputs.Observe(late.Seconds())
	m.log(now)
}

// log logs the longest lateness since the last line, if that is due. m.mu must be held.
func (m *Meter) log(now time.Time) {
	if max(m.tickLate, m.inputLate) < loggedLateness || now.Sub(m.loggedAt) < logPeriod {
		return
	}
	m.logger.WithFields(logrus.Fields{"tick_ms": m.tickLate.Milliseconds(), "input_ms": m.inputLate.Milliseconds()}).
		Warn("This process runs late")
	m.loggedAt, m.tickLate, m.inputLate = now, 0, 0
}

// Mean returns the mean lateness of the ticks of the last second or so.
func (m *Meter) Mean() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mean
}

// Overdue returns by how much the next tick is overdue: after a pause of the process, it tells of that before the tick comes.
func (m *Meter) Overdue(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.last.IsZero() {
		return 0
	}
	return max(0, now.Sub(m.last)-Period)
}

// Run measures until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("lateness: open a pipe: %w", err)
	}
	var reads sync.WaitGroup
	start := time.Now()
	reads.Go(func() { m.readStamps(reader, start) })
	defer reads.Wait()
	defer func() { _ = writer.Close() }()
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	var stamp [stampBytes]byte
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := time.Now()
			m.Observe(now)
			binary.LittleEndian.PutUint64(stamp[:], uint64(now.Sub(start)))
			if _, err := writer.Write(stamp[:]); err != nil {
				return fmt.Errorf("lateness: write to the pipe: %w", err)
			}
		}
	}
}

// readStamps reads the times that were written, until the other end is closed. Each is a time since start.
func (m *Meter) readStamps(reader *os.File, start time.Time) {
	defer func() { _ = reader.Close() }()
	var stamp [stampBytes]byte
	for {
		if _, err := io.ReadFull(reader, stamp[:]); err != nil {
			return // The writer is closed.
		}
		now := time.Now()
		m.observeInput(now, now.Sub(start)-time.Duration(binary.LittleEndian.Uint64(stamp[:])))
	}
}
