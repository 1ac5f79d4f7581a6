package intake

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"syscall"

	"golang.org/x/sys/unix"
)

// poller makes the runtime look for input. The zero poller is ready for use.
type poller struct {
	writer *os.File
	raw    syscall.RawConn
	// reader is kept since raw belongs to it.
	reader *os.File
}

// poll returns once the runtime has looked which connections and other files have input, and has made what waits for it
// runnable. If that can't be done, as without free file descriptors, it only lets run what is runnable.
func (p *poller) poll() {
	if err := p.open(); err != nil {
		runtime.Gosched()
		return
	}
	if err := p.writeAndWait(); err != nil {
		runtime.Gosched()
	}
}

func (p *poller) open() (err error) {
	if p.raw != nil {
		return nil
	}
	if p.reader, p.writer, err = os.Pipe(); err != nil {
		return fmt.Errorf("intake: open a pipe: %w", err)
	}
	if p.raw, err = p.reader.SyscallConn(); err != nil {
		return fmt.Errorf("intake: use a pipe: %w", err)
	}
	return nil
}

// writeAndWait writes a byte and reads it once the runtime has found that there is one.
func (p *poller) writeAndWait() error {
	var b [1]byte
	var callErr error
	written := false
	err := p.raw.Read(func(fd uintptr) (done bool) {
		if !written {
			written = true
			_, callErr = p.writer.Write(b[:])
			return callErr != nil
		}
		_, callErr = unix.Read(int(fd), b[:])
		return !errors.Is(callErr, unix.EAGAIN)
	})
	return errors.Join(err, callErr)
}
