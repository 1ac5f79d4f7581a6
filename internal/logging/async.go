package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedBytes bounds what waits to be written.
	queuedBytes = 1 << 20
	// flushPeriod is how long lines are gathered before they are written together.
	flushPeriod = 50 * time.Millisecond
)

// Async is a writer that never blocks: lines wait in a bounded buffer, and those that
// find it full are dropped, counted, and reported once there is room again.
type Async struct {
	out     io.Writer
	dropped atomic.Uint64

	mu     sync.Mutex
	buffer bytes.Buffer
	closed bool

	wake chan struct{}
	done chan struct{}
}

// NewAsync starts a writer in front of out.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write takes a line. It never fails.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	if a.buffer.Len()+len(line) > queuedBytes || a.closed {
		a.dropped.Add(1)
	} else {
		a.buffer.Write(line)
	}
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped is how many lines were dropped.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close writes what waits and ends the writer.
func (a *Async) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	<-a.done
}

func (a *Async) run() {
	defer close(a.done)
	var batch bytes.Buffer
	var reported uint64
	for range a.wake {
		closed := a.take(&batch)
		if dropped := a.dropped.Load(); dropped > reported {
			fmt.Fprintf(&batch, "{\"level\":\"warning\",\"part\":\"log\",\"msg\":\"Lines were dropped\",\"lines\":%d}\n", dropped-reported)
			reported = dropped
		}
		// Nobody is left to be told that the log itself can't be written.
		_, _ = a.out.Write(batch.Bytes())
		batch.Reset()
		if closed {
			return
		}
		time.Sleep(flushPeriod)
	}
}

// take moves what waits into the batch.
func (a *Async) take(batch *bytes.Buffer) (closed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	batch.Write(a.buffer.Bytes())
	a.buffer.Reset()
	return a.closed
}
