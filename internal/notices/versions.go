// Package notices decides which notices an instance sends to others, ahead of what they read from the platform's store: that a
// version has become usable on a server or is no longer usable there, and that a server is leaving or gone. Who finds out tells
// it, and each instance passes on what is new to it to a few peers, so that what one instance sends doesn't grow with the
// fleet. See docs/design/version-notices.md.
//
// Versions and Departures hold the notices of one instance, and Limiter what they may take of its link. None has a goroutine,
// clock or socket.
package notices

import (
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/peers/digest"
)

const (
	// VersionLifetime is how long after its making a notice of a version is sent. Later the server's announcement tells.
	VersionLifetime = time.Second
	// sendsPerVersion is how often each instance sends a notice of a version, since datagrams can be lost.
	sendsPerVersion = 2
	// versionMemory is how long a notice of a version is remembered, so that neither a copy of it nor an older one counts.
	versionMemory = 5 * time.Second
	// maxKnown limits how many notices of each kind are remembered. What is beyond it is applied, but not passed on.
	maxKnown = 8192
)

// subject is what a notice of a version is about. Only the newest notice about a subject counts.
type subject struct {
	server string
	ref    modelref.Ref
}

func subjectOf(notice digest.Residency) subject {
	return subject{server: notice.Server, ref: notice.Ref}
}

// Versions holds the notices of versions that one instance knows, and says which of them its next message carries. It isn't
// safe for concurrent use.
type Versions struct {
	outbox outbox[subject, digest.Residency]
	// count is the number of the last notice of this instance.
	count uint64
}

// NewVersions returns Versions without notices.
func NewVersions() *Versions {
	return &Versions{outbox: newOutbox[subject, digest.Residency](outboxSettings{lifetime: VersionLifetime, memory: versionMemory, sends: sendsPerVersion})}
}

// Publish adds a notice of this instance, which holds the placement lease in the given term.
func (v *Versions) Publish(now time.Time, term uint64, notice digest.Residency) {
	v.count++
	notice.Term, notice.Count = term, v.count
	if old := v.outbox.get(subjectOf(notice)); old != nil && old.value.After(notice) {
		return // Another holder has followed.
	}
	v.outbox.put(now, subjectOf(notice), &entry[digest.Residency]{value: notice, madeAt: now, firstHand: true, urgent: !notice.Present})
}

// BeginAnswer returns the place of an answer in the order of this instance's notices. It is taken before what the answer tells is read, so
// that the notice of a later change is ordered after it.
func (v *Versions) BeginAnswer() (count uint64) {
	v.count++
	return v.count
}

// Answer returns a notice for one peer that waits for the version, with the place that BeginAnswer returned. It is so old that its
// receiver doesn't pass it on. This instance doesn't send it to others.
func (v *Versions) Answer(term, count uint64, notice digest.Residency) digest.Residency {
	notice.Term, notice.Count, notice.AgeMillis = term, count, VersionLifetime.Milliseconds()
	return notice
}

// Receive records a peer's notice. It reports whether the notice says something newer than what is known, and so has to be
// applied, and whether it is to be passed on. A notice without an order comes from a holder of an earlier build, which
// sends it to all instances itself.
func (v *Versions) Receive(now time.Time, notice digest.Residency) (isNew, passOn bool) {
	if !notice.Ordered() {
		return true, false
	}
	if old := v.outbox.get(subjectOf(notice)); old != nil && !notice.After(old.value) {
		return false, false
	}
	age := time.Duration(notice.AgeMillis) * time.Millisecond
	if age < 0 || age > versionMemory {
		return false, false
	}
	return true, v.outbox.put(now, subjectOf(notice), &entry[digest.Residency]{value: notice, madeAt: now.Add(-age), urgent: !notice.Present})
}

// Take returns up to limit notices for a message, and marks them as sent: those that weren't sent before, and also others if
// repeat is true. Versions that are no longer usable come first, since requests for them would be misdirected.
func (v *Versions) Take(now time.Time, limit int, repeat bool) []digest.Residency {
	var out []digest.Residency
	for _, e := range v.outbox.take(now, limit, repeat) {
		notice := e.value
		notice.AgeMillis = max(0, now.Sub(e.madeAt).Milliseconds())
		notice.FirstHand = e.firstHand && e.sends == 1
		out = append(out, notice)
	}
	return out
}
