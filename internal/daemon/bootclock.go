package daemon

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// bootClock returns a clock that keeps running while the machine is suspended. If there is
// none, it returns the usual clock, which stops during a suspension. After a suspension longer
// than the lease's margin, a holder with that clock may act on an expired lease until it
// learns that another instance holds it, and an instance may take the proof of its configuration
// for younger than it is.
func bootClock(logger *logrus.Entry) func() time.Time {
	read := func() (time.Time, error) {
		var now unix.Timespec
		err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
		return time.Unix(now.Unix()), err
	}
	if _, err := read(); err != nil {
		logger.WithError(err).Warn("CLOCK_BOOTTIME can't be read; the clock in use stops while the machine is suspended, so after a long suspension this instance may act on an expired lease, or accept a revoked key, until it hears from others")
		return time.Now
	}
	return func() time.Time {
		now, err := read()
		if err != nil { // The first read succeeded, so an error here is a defect.
			panic(fmt.Errorf("daemon: read the boot clock: %w", err))
		}
		return now
	}
}
