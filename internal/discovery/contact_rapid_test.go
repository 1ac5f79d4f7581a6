package discovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// storyLength is how long a drawn story lasts, and storyRead the time between two reads of a process. entriesExpireAfter is the
// shortest outage in which the entry of a server can expire: two intervals of 1.2 s.
const (
	storyLength        = 60 * time.Second
	storyRead          = time.Second
	entriesExpireAfter = 2400 * time.Millisecond
)

// span is a time from the beginning of a story.
type span struct{ from, to time.Duration }

func (s span) contains(at time.Duration) bool { return s.from <= at && at <= s.to }

// storyProcess is a process of a story. It runs in one span, and reaches the store in it except during its cuts.
type storyProcess struct {
	runs    span
	cuts    []span
	known   contacts
	lastOK  time.Duration
	hasRead bool
}

func (p *storyProcess) reaches(at time.Duration) bool {
	for _, cut := range p.cuts {
		if cut.contains(at) {
			return false
		}
	}
	return p.runs.contains(at)
}

// read adds a successful read, as Watcher.recordAnswer does.
func (p *storyProcess) read(at time.Duration) {
	since := p.lastOK
	if !p.hasRead || at-p.lastOK > minOutage {
		since = at
	}
	p.known.add(Contact{Since: storyTime(since), Until: storyTime(at)})
	p.lastOK, p.hasRead = at, true
}

// tell adds what another process knows, shortened by delays on the way.
func (p *storyProcess) tell(other *storyProcess, delay time.Duration) {
	for _, c := range other.known {
		told := Contact{Since: c.Since.Add(delay), Until: c.Until.Add(-delay)}
		if !told.Until.Before(told.Since) {
			p.known.add(told)
		}
	}
}

func storyTime(at time.Duration) time.Time { return time.Unix(1000, 0).Add(at) }

func drawSpans(t *rapid.T, label string, most int, longest time.Duration) (out []span) {
	for range rapid.IntRange(0, most).Draw(t, label+" count") {
		from := drawDuration(t, label+" from", 0, storyLength)
		out = append(out, span{from, from + drawDuration(t, label+" length", 0, longest)})
	}
	return out
}

func drawDuration(t *rapid.T, label string, least, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(least/time.Millisecond), int64(most/time.Millisecond)).Draw(t, label)) * time.Millisecond
}

// TestNoContactsCoverAnOutage draws outages, cuts, restarts and questions: whatever processes have read and told each other,
// an absence in which an entry can have expired isn't covered.
func TestNoContactsCoverAnOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outages := drawSpans(t, "brief outage", 2, minOutage)
		begins := drawDuration(t, "outage begins", 5*time.Second, storyLength/2)
		outage := span{begins, begins + drawDuration(t, "outage lasts", entriesExpireAfter, 12*time.Second)}
		outages = append(outages, outage)
		var processes []*storyProcess
		for range rapid.IntRange(1, 5).Draw(t, "processes") {
			start := drawDuration(t, "start", 0, storyLength/2)
			processes = append(processes, &storyProcess{
				runs: span{start, start + drawDuration(t, "runs for", time.Second, storyLength)}, cuts: drawSpans(t, "cut", 2, 10*time.Second),
			})
		}
		playStory(t, outages, processes)
		absent := span{
			outage.from - drawDuration(t, "absent before", 0, 5*time.Second), outage.to + drawDuration(t, "absent after", 0, 5*time.Second),
		}
		a := absence{since: storyTime(absent.from), until: storyTime(absent.to)}
		for n, p := range processes {
			if a.coveredBy(p.known) {
				t.Fatalf("what process %d knows covers the absence %v with the outage %v: %v", n, absent, outage, p.known)
			}
		}
	})
}

// playStory lets the processes read the store and tell each other what they know, in steps of a tenth of storyRead.
func playStory(t *rapid.T, outages []span, processes []*storyProcess) {
	inService := func(at time.Duration) bool {
		for _, outage := range outages {
			if outage.contains(at) {
				return false
			}
		}
		return true
	}
	for at := time.Duration(0); at < storyLength; at += storyRead / 10 {
		for n, p := range processes {
			// Each process reads at moments of its own.
			if at%storyRead == storyRead/10*time.Duration(n) && p.reaches(at) && inService(at) {
				p.read(at)
			}
		}
		if rapid.IntRange(0, 9).Draw(t, "question") > 0 {
			continue
		}
		asks := processes[rapid.IntRange(0, len(processes)-1).Draw(t, "asks")]
		answers := processes[rapid.IntRange(0, len(processes)-1).Draw(t, "answers")]
		if asks != answers && asks.runs.contains(at) && answers.runs.contains(at) {
			asks.tell(answers, drawDuration(t, "delay", 0, 400*time.Millisecond))
		}
	}
}

// TestContactsCoverAnAbsenceThroughRestarts draws processes of which each starts while the one before it still runs for a while, and asks
// that one as resolveAbsence does: whatever ended meanwhile, the last one knows that the store was in service all the while.
func TestContactsCoverAnAbsenceThroughRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := &storyProcess{}
		first.readFrom(0, drawDuration(t, "runs for", 2*time.Second, 5*time.Second))
		latest := first
		for range rapid.IntRange(1, 20).Draw(t, "restarts") {
			latest = drawSuccessor(t, latest)
		}
		a := absence{since: storyTime(0), until: storyTime(latest.lastOK)}
		if !a.coveredBy(latest.known) {
			t.Fatalf("the last process knows %v, which doesn't cover %v", latest.known, latest.lastOK)
		}
	})
}

// drawSuccessor returns a process that starts at the last read of another one, which then runs on for a while.
func drawSuccessor(t *rapid.T, before *storyProcess) *storyProcess {
	const longestDelay = 50 * time.Millisecond
	start := before.lastOK
	overlap := drawDuration(t, "both run for", storyRead+learnPause, 4*time.Second)
	p := &storyProcess{}
	p.readFrom(start, start)
	readPhase := drawDuration(t, "reads after", 0, storyRead)
	for asked := learnPause; asked <= min(overlap, outageGracePeriod); asked += learnPause {
		if asked >= readPhase {
			before.readFrom(before.lastOK+storyRead, start+asked)
		}
		p.tell(before, drawDuration(t, "delay", 0, longestDelay))
	}
	p.readFrom(start+storyRead, start+overlap+drawDuration(t, "runs for", 0, 4*time.Second))
	return p
}

// readFrom reads at intervals of storyRead.
func (p *storyProcess) readFrom(from, to time.Duration) {
	for at := from; at <= to; at += storyRead {
		p.read(at)
	}
}
