package discovery

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/pause"
)

const (
	// askPause is the time between two questions to peers about their contacts with the store while servers are
	// missing, and learnPause if none are.
	askPause   = 200 * time.Millisecond
	learnPause = 500 * time.Millisecond
)

// absence is a time in which this instance didn't reach the store. since is zero if it has just started. servers
// were missing from the listing that ended it.
type absence struct {
	since, until time.Time
	servers      int
}

// coveredBy reports whether the store was in service during the absence: entries that are missing now were removed or
// had expired as in calm. Gaps of minOutage, all together, are too short for an entry to expire.
func (a absence) coveredBy(known contacts) bool {
	return !a.since.IsZero() && known.gapsWithin(a.since, a.until) <= minOutage
}

// askPause returns the time between two questions about the absence.
func (a absence) askPause() time.Duration {
	if a.servers == 0 {
		return learnPause
	}
	return askPause
}

// Contacts returns the times in which the store is known here to have been in service, in ascending order.
func (w *Watcher) Contacts() []Contact {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.contacts)
}

// noteAbsence lets peers be asked about an absence. The caller holds the lock.
func (w *Watcher) noteAbsence(since, until time.Time) {
	if w.options.PeerContacts == nil {
		return
	}
	select {
	case w.absences <- absence{since: since, until: until, servers: w.registry.Missing(until)}:
	default: // An earlier absence hasn't been looked at yet. The servers that are missing now are kept for outageGracePeriod.
	}
}

// absenceLoop asks peers about absences until ctx ends.
func (w *Watcher) absenceLoop(ctx context.Context) {
	var questions sync.WaitGroup
	defer questions.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-w.absences:
			questions.Go(func() { w.resolveAbsence(ctx, a) })
		}
	}
}

// resolveAbsence learns from peers when the store was in service during an absence, and drops the servers that were
// missing after it once that was all the while. It gives up when the registry drops them anyway. Also if none are missing, what
// peers know is asked for: they may have ended when another instance needs it.
func (w *Watcher) resolveAbsence(ctx context.Context, a absence) {
	ctx, cancel := context.WithDeadline(ctx, a.until.Add(outageGracePeriod))
	defer cancel()
	log := w.options.Logger.WithField("servers", a.servers)
	if !a.since.IsZero() {
		log = log.WithField("away_ms", a.until.Sub(a.since).Milliseconds())
	}
	for ctx.Err() == nil {
		known := w.learn(w.options.PeerContacts(ctx), log)
		if a.coveredBy(known) {
			w.dropMissing(a, log)
			return
		}
		pause.For(ctx, a.askPause())
	}
	if a.servers > 0 {
		log.WithField("contacts", describe(w.Contacts(), time.Now())).Info("Servers were kept: no other instances have read the store all the while")
	}
}

// learn adds what peers told to the contacts, and returns these.
func (w *Watcher) learn(told []Contact, log *logrus.Entry) contacts {
	log.WithField("contacts", describe(told, time.Now())).Debug("Other instances told when the store was in service")
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range told {
		w.contacts.add(c)
	}
	return slices.Clone(w.contacts)
}

func (w *Watcher) dropMissing(a absence, log *logrus.Entry) {
	if a.servers == 0 {
		return
	}
	log.Info("Servers are gone: other instances have read the store all the while")
	w.update(cause{origin: originAbsence}, func(r *Registry) { r.DropMissing(time.Now(), a.until) })
}

func describe(all []Contact, now time.Time) (out []string) {
	for _, c := range all {
		out = append(out, c.describe(now))
	}
	return out
}
