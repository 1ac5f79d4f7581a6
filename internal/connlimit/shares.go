package connlimit

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Parts of the open descriptors of a process.
const (
	// reservedDescriptors are left for files and for what is open besides sockets.
	reservedDescriptors = 200
	// MinDescriptors is the least number of descriptors with which a process works under a limit.
	MinDescriptors = 2 * reservedDescriptors
	// callersPart is the part of the others that callers may take. Each of their requests may need a connection to a server, and a
	// third is left for peers, the store and other listeners.
	callersPart = 3
	// otherPart is the part that each of the other listeners may take.
	otherPart = 16
)

// Shares are the connections that the listeners of a process may have open; 0 means no limit.
type Shares struct {
	// Callers is for callers' requests, and Other for each of the other listeners.
	Callers, Other int
}

// SharesOf returns the shares of a process that may have so many descriptors open; 0 means its resource limit.
func SharesOf(descriptors int) (Shares, error) {
	if descriptors == 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return Shares{}, fmt.Errorf("connlimit: read the limit of open descriptors: %w", err)
		}
		descriptors = int(min(limit.Cur, maxDescriptors))
	}
	sockets := max(descriptors, MinDescriptors) - reservedDescriptors
	return Shares{Callers: sockets / callersPart, Other: sockets / otherPart}, nil
}

// maxDescriptors bounds a resource limit that is so high that it means none.
const maxDescriptors = 1 << 20
