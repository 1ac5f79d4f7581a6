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
	// maxQueuedBytes limits the lines that wait to be written.
	maxQueuedBytes = 1 << 20
	// flushInterval is the minimum time between two writes, so that lines are batched.
	flushInterval = 50 * time.Millisecond
)

// Async is a writer that never blocks its callers. Lines are queued in a bounded buffer.
// Lines that don't fit are dropped and counted, and the log reports their number with the
// next write.
type Async struct {
	out     io.Writer
	dropped atomic.Uint64

	mu     sync.Mutex
	buffer bytes.Buffer
	closed bool

	wake chan struct{}
	done chan struct{}
}

// NewAsync returns an Async that writes to out in a goroutine of its own.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a line or drops it if the queue is full or closed. It never fails.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	if a.buffer.Len()+len(line) > maxQueuedBytes || a.closed {
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

// Dropped returns the number of lines dropped so far.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Later lines are dropped.
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
		closed := a.takeQueued(&batch)
		if dropped := a.dropped.Load(); dropped > reported {
			// This line bypasses the logger, so it has neither a time nor an instance, and its
			// part isn't a Part of logging.go.
			fmt.Fprintf(&batch, "{\"level\":\"warning\",\"part\":\"log\",\"msg\":\"Lines were dropped\",\"lines\":%d}\n", dropped-reported)
			reported = dropped
		}
		// A failure to write the log can't be reported anywhere.
		_, _ = a.out.Write(batch.Bytes())
		batch.Reset()
		if closed {
			return
		}
		time.Sleep(flushInterval)
	}
}

// takeQueued moves the queued lines to the batch and reports whether the writer is closed.
func (a *Async) takeQueued(batch *bytes.Buffer) (closed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	batch.Write(a.buffer.Bytes())
	a.buffer.Reset()
	return a.closed
}
