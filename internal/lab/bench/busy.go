package bench

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// MaxBusyShare is the share of the machine's processor time above which a run
// measures the machine and not the system.
const MaxBusyShare = 0.5

// statPath is where the kernel gives processor times.
const statPath = "/proc/stat"

// Columns of the first line of statPath that count as idle.
const (
	columnIdle   = 3
	columnIOWait = 4
	// columnsUsed leaves out guest times, which are counted under user.
	columnsUsed = 8
)

// cpuTimes is processor time since the machine's start, in clock ticks.
type cpuTimes struct{ idle, total uint64 }

func readCPUTimes() (cpuTimes, error) {
	file, err := os.Open(statPath)
	if err != nil {
		return cpuTimes{}, fmt.Errorf("bench: %w", err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Scan()
	return parseCPUTimes(lines.Text())
}

// parseCPUTimes reads the line that starts with "cpu".
func parseCPUTimes(line string) (cpuTimes, error) {
	fields := strings.Fields(line)
	if len(fields) <= columnsUsed || fields[0] != "cpu" {
		return cpuTimes{}, fmt.Errorf("bench: malformed processor times %q", line)
	}
	var out cpuTimes
	for i, field := range fields[1 : columnsUsed+1] {
		ticks, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return cpuTimes{}, fmt.Errorf("bench: malformed processor times: %w", err)
		}
		out.total += ticks
		if i == columnIdle || i == columnIOWait {
			out.idle += ticks
		}
	}
	return out, nil
}

// BusyMeter measures the machine's busy share over a time.
type BusyMeter struct{ start cpuTimes }

// StartBusyMeter begins to measure.
func StartBusyMeter() (*BusyMeter, error) {
	start, err := readCPUTimes()
	return &BusyMeter{start: start}, err
}

// Share is the busy share since the start, 0 to 1.
func (m *BusyMeter) Share() (float64, error) {
	now, err := readCPUTimes()
	if err != nil {
		return 0, err
	}
	return busyShare(m.start, now), nil
}

func busyShare(from, to cpuTimes) float64 {
	total := to.total - from.total
	if total == 0 {
		return 0
	}
	return 1 - float64(to.idle-from.idle)/float64(total)
}
