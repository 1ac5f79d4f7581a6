package discovery

import (
	"context"
	"fmt"
	"time"

	"limpethub/internal/pause"
)

const (
	// maxContactGap is the longest time between two successful reads of one Contact, also if no read
	// between them failed. It is above the pause between two reads.
	maxContactGap = maxBatchPause + 2*time.Second
	// askPause is the time between two questions to peers about their contact with the store.
	askPause = 200 * time.Millisecond
)

// Contact is a time in which an instance has read the store without a longer gap. Both are zero if it
// has not read it yet.
type Contact struct {
	Since, Until time.Time
}

// describe returns the contact as ages, for a log line.
func (c Contact) describe(now time.Time) string {
	return fmt.Sprintf("%v to %v ago", now.Sub(c.Since).Round(time.Millisecond), now.Sub(c.Until).Round(time.Millisecond))
}

// absence is a time in which this instance didn't reach the store. servers were missing from the listing
// that ended it.
type absence struct {
	since, until time.Time
	servers      int
}

// coveredBy reports whether a peer reached the store during the whole absence: the store was in service, so
// that entries which are missing now were removed or had expired as in calm.
func (a absence) coveredBy(c Contact) bool {
	if c.Until.IsZero() {
		return false
	}
	return !c.Since.After(a.since.Add(minOutage)) && !c.Until.Before(a.until.Add(-minOutage))
}

// Contact returns the time up to now in which this instance has read the store.
func (w *Watcher) Contact() Contact {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Contact{Since: w.contactSince, Until: w.lastAnswerAt}
}

// noteAbsence lets peers be asked about an absence, if servers were missing when it ended. The caller holds
// the lock.
func (w *Watcher) noteAbsence(since, until time.Time) {
	missing := w.registry.Missing(until)
	if missing == 0 || w.options.PeerContacts == nil {
		return
	}
	select {
	case w.absences <- absence{since: since, until: until, servers: missing}:
	default: // Peers are still being asked about an earlier one; its servers are kept for outageGracePeriod.
	}
}

// absenceLoop asks peers about absences until ctx ends.
func (w *Watcher) absenceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-w.absences:
			w.resolveAbsence(ctx, a)
		}
	}
}

// resolveAbsence drops the servers that were missing after an absence once a peer shows that the store was in
// service meanwhile. It gives up when the registry drops them anyway.
func (w *Watcher) resolveAbsence(ctx context.Context, a absence) {
	ctx, cancel := context.WithDeadline(ctx, a.until.Add(outageGracePeriod))
	defer cancel()
	log := w.options.Logger.WithField("servers", a.servers).WithField("away_ms", a.until.Sub(a.since).Milliseconds())
	var told []string
	for ctx.Err() == nil {
		contacts := w.options.PeerContacts(ctx)
		now := time.Now()
		told = nil
		for _, c := range contacts {
			told = append(told, c.describe(now))
		}
		log.WithField("contacts", told).WithField("listed_ms", now.Sub(a.until).Milliseconds()).Debug("Other instances told when they have read the store")
		for _, c := range contacts {
			if !a.coveredBy(c) {
				continue
			}
			log.Info("Servers are gone: another instance has read the store all the while")
			w.update(cause{origin: originAbsence}, func(r *Registry) { r.DropMissing(time.Now(), a.until) })
			return
		}
		pause.For(ctx, askPause)
	}
	log.WithField("contacts", told).Info("Servers were kept: no other instance has read the store all the while")
}
