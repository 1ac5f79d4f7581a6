package crowd

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"limpethub/platform/standin"
)

// bodies returns the behavior of clients that send a body to the callers' address.
func bodies(send func(c *client) error) behavior {
	return behavior{clients: bodyCrowd, address: frontOf, send: send}
}

// connections returns the behavior of clients that open connections to an address.
func connections(address func(*rig) string, send func(c *client) error) behavior {
	return behavior{clients: connectionCrowd, address: address, send: send}
}

// TestCrowdOfBodiesWithoutTheirLastByte guards against an instance that runs out of memory when many bodies of legal size stop just
// short of their end.
func TestCrowdOfBodiesWithoutTheirLastByte(t *testing.T) {
	play(t, bodies(func(c *client) error { return c.sendBody(bodyLimit, bodyLimit-1, 1, 0) }), nil)
}

// TestCrowdOfBodiesInPieces is the same with bodies that come piece by piece.
func TestCrowdOfBodiesInPieces(t *testing.T) {
	play(t, bodies(func(c *client) error { return c.sendBody(bodyLimit, bodyLimit-1, 64, 20*time.Millisecond) }), nil)
}

// TestCrowdOfLargeChunksWithoutEnd guards against the same with bodies in chunks, whose length nobody announces.
func TestCrowdOfLargeChunksWithoutEnd(t *testing.T) {
	play(t, bodies(func(c *client) error { return c.sendChunks(64<<10, bodyLimit) }), nil)
}

func TestCrowdOfSmallChunksWithoutEnd(t *testing.T) {
	play(t, bodies(func(c *client) error { return c.sendChunks(64, bodyLimit) }), nil)
}

func TestCrowdOfOneByteChunksWithoutEnd(t *testing.T) {
	play(t, bodies(func(c *client) error { return c.sendChunks(1, bodyLimit) }), nil)
}

// TestCrowdOfBodiesForSlowServers guards against an instance that runs out of memory by whole bodies that it keeps until their
// answers.
func TestCrowdOfBodiesForSlowServers(t *testing.T) {
	play(t, bodies(func(c *client) error { return c.sendBody(bodyLimit, bodyLimit, 1, 0) }), func(server *standin.Server) {
		server.SetAnswer(func(_ http.ResponseWriter, r *http.Request) bool {
			if isOfCrowd(r) {
				time.Sleep(3 * time.Second)
			}
			return false
		})
	})
}

func isOfCrowd(r *http.Request) bool {
	return strings.HasPrefix(r.Header.Get(standin.HeaderRequestID), crowdPrefix)
}

const (
	announcedOverLimit = 10 << 30
	sentOverLimit      = 8 * mib
)

// TestCrowdOfBodiesAnnouncedOverTheLimit guards against an instance that reads what it has to refuse.
func TestCrowdOfBodiesAnnouncedOverTheLimit(t *testing.T) {
	play(t, bodies(func(c *client) error {
		if err := c.sendBody(announcedOverLimit, 0, 1, 0); err != nil {
			return err
		}
		for range sentOverLimit / len(filler) {
			if _, err := c.Write(filler); err != nil {
				return err
			}
		}
		return nil
	}), nil)
}

func TestCrowdOfBodiesSentOverTheLimit(t *testing.T) {
	play(t, bodies(func(c *client) error { return c.sendChunks(mib, sentOverLimit) }), nil)
}

// unreadPieces is how many pieces of a MiB an unread answer has, and unreadEvents how many events of half a MiB an unread stream. The
// first few MiB of each fit into the buffers of its connection.
const (
	unreadPieces = 6
	unreadEvents = 16
)

// TestCrowdOfUnreadAnswers guards against an instance that runs out of memory by answers that their callers don't read.
func TestCrowdOfUnreadAnswers(t *testing.T) {
	b := bodies(func(c *client) error { return c.sendBody(4, 4, 1, 0) })
	b.doesNotRead = true
	play(t, b, func(server *standin.Server) {
		server.SetAnswer(func(w http.ResponseWriter, r *http.Request) bool {
			if isOfCrowd(r) {
				w.Header().Set("Content-Length", strconv.Itoa(unreadPieces*len(filler)))
				for range unreadPieces {
					_, _ = w.Write(filler)
				}
			}
			return isOfCrowd(r)
		})
	})
}

// unreadEvent is an event of half the largest size.
var unreadEvent = append(append([]byte("id: 0\ndata: "), bytes.Repeat([]byte("x"), mib/2)...), "\n\n"...)

// TestCrowdOfUnreadStreams guards against the same with streams.
func TestCrowdOfUnreadStreams(t *testing.T) {
	b := bodies(func(c *client) error {
		return c.writeString(c.head("/draft/crowd", contentLength(0)) + "\r\n")
	})
	b.doesNotRead = true
	play(t, b, func(server *standin.Server) {
		server.SetAnswer(func(w http.ResponseWriter, r *http.Request) bool {
			if isOfCrowd(r) {
				w.Header().Set("Content-Type", "text/event-stream")
				for range unreadEvents {
					_, _ = w.Write(unreadEvent)
				}
			}
			return isOfCrowd(r)
		})
	})
}

// largeHeadBytes is the size of a large head. It is just below what the instance takes.
const largeHeadBytes = 60 << 10

func TestCrowdOfLargeHeadsWithoutEnd(t *testing.T) {
	play(t, bodies(func(c *client) error {
		return c.writeString(c.head("/desk/crowd", "Padding: "+strings.Repeat("x", largeHeadBytes)))
	}), nil)
}

// silent sends nothing.
func silent(*client) error { return nil }

// halfAHead sends the first part of a head.
func halfAHead(c *client) error { return c.writeString(c.head("/desk/crowd", contentLength(4))) }

// TestCrowdOfHalfHeads guards against an instance whose descriptors are all taken by callers.
func TestCrowdOfHalfHeads(t *testing.T) { play(t, connections(frontOf, halfAHead), nil) }

func TestCrowdOfHalfBodies(t *testing.T) {
	play(t, connections(frontOf, func(c *client) error { return c.sendBody(1000, 500, 1, 0) }), nil)
}

func TestCrowdOfSilentConnections(t *testing.T) { play(t, connections(frontOf, silent), nil) }

// TestCrowdOfConnectionsKeptAfterAnAnswer: each client has an answer, and keeps its connection without sending anything more.
func TestCrowdOfConnectionsKeptAfterAnAnswer(t *testing.T) {
	play(t, connections(frontOf, func(c *client) error {
		if err := c.sendBody(4, 4, 1, 0); err != nil {
			return err
		}
		answer, err := http.ReadResponse(newReader(c), nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, answer.Body)
		return err
	}), nil)
}

func directoryOf(r *rig) string { return r.directory }

func readyOf(r *rig) string { return r.ready }

func TestCrowdOfSilentConnectionsAtTheDirectory(t *testing.T) {
	play(t, connections(directoryOf, silent), nil)
}

func TestCrowdOfHalfHeadsAtTheDirectory(t *testing.T) {
	play(t, connections(directoryOf, halfAHead), nil)
}

func TestCrowdOfSilentConnectionsAtTheReadinessAddress(t *testing.T) {
	play(t, connections(readyOf, silent), nil)
}

func TestCrowdOfHalfHeadsAtTheReadinessAddress(t *testing.T) {
	play(t, connections(readyOf, halfAHead), nil)
}

const (
	// slowBytes, slowPieces and slowPause make a body that comes slower than a crowd may send, inside the limits.
	slowBytes  = 30 << 10
	slowPieces = 60
	slowPause  = 100 * time.Millisecond
)

// TestSlowBodyIsServedInCalm guards against limits that a single slow client meets while there is no crowd.
func TestSlowBodyIsServedInCalm(t *testing.T) {
	r := startRig(t)
	for _, form := range []struct {
		name string
		send func(c *client) error
	}{
		{"with a length", func(c *client) error { return c.sendBody(slowBytes, slowBytes, slowPieces, slowPause) }},
		{"in chunks", sendSlowChunks},
	} {
		c := dial(t, r, form.name)
		if err := form.send(c); err != nil {
			t.Fatalf("%s: %v", form.name, err)
		}
		answer, err := http.ReadResponse(newReader(c), nil)
		if err != nil {
			t.Fatalf("%s: %v", form.name, err)
		}
		if answer.StatusCode != http.StatusOK || answer.Header.Get(standin.HeaderSeal) == "" {
			t.Errorf("%s: got status %d, want 200 and the answer of a server", form.name, answer.StatusCode)
		}
	}
	r.check(t)
}

// sendSlowChunks sends a whole body in chunks, slowly.
func sendSlowChunks(c *client) error {
	if err := c.sendChunks(1, 0); err != nil {
		return err
	}
	for range slowPieces {
		if err := c.writeString("200\r\n" + string(filler[:0x200]) + "\r\n"); err != nil {
			return err
		}
		c.pause(slowPause)
	}
	return c.writeString("0\r\n\r\n")
}
