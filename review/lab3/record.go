package lab3

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, with the time since its start. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord starts a record in a file, which it empties.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Line writes one line.
func (r *Record) Line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}
