package serverlimits

import (
	"errors"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"limpethub/internal/engine"
	"limpethub/internal/gossip"
	"limpethub/internal/logging"
	"limpethub/internal/scheduling/quota"
)

var testServer = engine.Server{Name: "s", Address: "s:1", StartMillis: 1}

func number(n float64) *float64 { return &n }

// TestLimitIsInForceAsLongAsAnswersNameIt guards against a limit that stays after the server names
// none any more, and against one that an old answer ends.
func TestLimitIsInForceAsLongAsAnswersNameIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Options{Logger: logging.Discard(), Now: time.Now})
		sentBefore := time.Now()
		time.Sleep(time.Second)
		l.Observe(testServer, number(2), nil, sentBefore)
		l.Observe(testServer, nil, nil, sentBefore)
		if l.Count() != 1 {
			t.Error("an answer to a request from before the limit has ended it")
		}
		l.Observe(testServer, nil, errors.New("no number"), time.Now())
		if l.Count() != 1 {
			t.Error("an invalid limit has ended the valid one")
		}
		time.Sleep(time.Second)
		l.Observe(testServer, nil, nil, time.Now())
		if l.Count() != 0 {
			t.Error("the limit is in force although the server names none any more")
		}
		l.Observe(testServer, number(2), nil, time.Now())
		time.Sleep(lifetime + time.Second)
		if l.Count() != 0 {
			t.Error("the limit is in force although no answer has named it for long")
		}
	})
}

// instances are Limits that hear each other's facts at once.
type instances struct {
	all     []*Limits
	applied []map[string]*quota.Limit
	facts   int
}

func newInstances(n int) *instances {
	f := &instances{}
	for i := range n {
		applied := map[string]*quota.Limit{}
		f.applied = append(f.applied, applied)
		f.all = append(f.all, New(Options{
			Logger: logging.Discard(), Now: time.Now,
			OnChange: func(server string, limit *quota.Limit) { applied[server] = limit },
			Publish: func(fact gossip.Timed) {
				f.facts++
				go func() {
					for j, other := range f.all {
						if j != i {
							other.HandleFact(time.Now(), fact)
						}
					}
				}()
			},
		}))
	}
	return f
}

// TestAllInstancesKnowALimit guards against an instance that sends a server what it likes because
// another one got the answer with the limit; with numbers that rise and fall, and an end.
func TestAllInstancesKnowALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newInstances(3)
		for step, perSecond := range []float64{2, 5, 0.5} {
			f.all[step].Observe(testServer, number(perSecond), nil, time.Now())
			time.Sleep(time.Second)
			synctest.Wait()
			for i, applied := range f.applied {
				limit := applied["s"]
				if limit == nil || limit.PerSecond != perSecond || limit.Process != testServer.ProcessNumber() || time.Since(limit.Since) != time.Second {
					t.Errorf("instance %d has %+v in force, want %v a second for a second", i, limit, perSecond)
				}
			}
		}
		f.all[0].Observe(testServer, nil, nil, time.Now())
		synctest.Wait()
		for i, applied := range f.applied {
			if applied["s"] != nil || f.all[i].Count() != 0 {
				t.Errorf("instance %d has %+v in force, want none after the end", i, applied["s"])
			}
		}
	})
}

// TestConfirmationsAreFewAndKeepALimitAlive guards against a fact for each answer, and against a limit
// that ends on instances which get no answers themselves.
func TestConfirmationsAreFewAndKeepALimitAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newInstances(2)
		for range 300 {
			f.all[0].Observe(testServer, number(2), nil, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		if f.all[1].Count() != 1 {
			t.Error("the limit has ended on the instance that got no answers")
		}
		if f.facts > 16 {
			t.Errorf("%d facts for 300 answers in 30s, want at most 16", f.facts)
		}
		time.Sleep(lifetime + time.Second)
		if f.all[0].Count()+f.all[1].Count() != 0 {
			t.Error("the limit is in force although no answer has named it for long")
		}
	})
}

// TestMalformedWordIsIgnored guards against a peer's message that changes a limit by mistake.
func TestMalformedWordIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Options{Logger: logging.Discard(), Now: time.Now})
		nan, err := cbor.Marshal(factValue{Server: "s", PerSecond: number(math.NaN())})
		if err != nil {
			t.Fatal(err)
		}
		for _, value := range [][]byte{nil, {1, 2, 3}, nan} {
			if _, isNew := l.HandleFact(time.Now(), gossip.Timed{Topic: gossip.TopicLimit, Value: value, At: time.Now()}); isNew || l.Count() != 0 {
				t.Errorf("the malformed value %x changed something", value)
			}
		}
	})
}

// TestLimitKnownBeforeItsServerIsAppliedWithTheNextAnswer guards against an instance that hears of a limit
// before it knows the server, and then sends it what it likes for seconds although its answers name it.
func TestLimitKnownBeforeItsServerIsAppliedWithTheNextAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newInstances(2)
		f.all[0].Observe(testServer, number(2), nil, time.Now())
		synctest.Wait()
		// The scheduler of the second instance doesn't know the server yet.
		delete(f.applied[1], "s")
		time.Sleep(100 * time.Millisecond)
		f.all[1].Observe(testServer, number(2), nil, time.Now())
		if f.applied[1]["s"] == nil {
			t.Error("the limit isn't applied although an answer has just named it")
		}
	})
}

// repeat returns what the instance tells again of the limit of a server's process.
func (l *Limits) repeat(t *testing.T, server engine.Server) gossip.Timed {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	fact, ok := l.fact(l.known[server.ProcessNumber()])
	if !ok {
		t.Fatal("no fact about the limit")
	}
	return fact
}

// TestLimitOfAProcessThatHasEndedDoesntHoldForItsSuccessor guards against a server that starts again under its name, names no limit, and
// still gets few requests for many seconds.
func TestLimitOfAProcessThatHasEndedDoesntHoldForItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newInstances(2)
		f.all[0].Observe(testServer, number(2), nil, time.Now())
		time.Sleep(time.Second)
		repeated := f.all[0].repeat(t, testServer)
		successor := testServer
		successor.StartMillis++
		f.all[1].Observe(successor, nil, nil, time.Now())
		time.Sleep(100 * time.Millisecond)
		for n, l := range f.all {
			l.HandleFact(time.Now(), repeated)
			if l.Count() > 0 || f.applied[n]["s"] != nil {
				t.Errorf("instance %d: the limit %+v of the process that has ended is in force", n, f.applied[n]["s"])
			}
		}
		f.all[0].Observe(successor, number(3), nil, time.Now())
		synctest.Wait()
		for n := range f.all {
			if limit := f.applied[n]["s"]; limit == nil || limit.PerSecond != 3 {
				t.Errorf("instance %d has %+v in force, want the successor's 3 a second", n, limit)
			}
		}
	})
}

// TestRepeatedWordOfALimitDoesntProlongIt guards against a limit that lasts for longer than its lifetime although no answer names it any
// more, since peers repeat what they know.
func TestRepeatedWordOfALimitDoesntProlongIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newInstances(2)
		f.all[0].Observe(testServer, number(2), nil, time.Now())
		named := time.Now()
		for time.Since(named) < lifetime-time.Second {
			time.Sleep(time.Second)
			fact := f.all[0].repeat(t, testServer)
			// Each message rounds the age of what it carries.
			fact.At = fact.At.Add(time.Duration(time.Since(named).Seconds()) * 100 * time.Microsecond)
			f.all[1].HandleFact(time.Now(), fact)
		}
		time.Sleep(2 * time.Second)
		for n, l := range f.all {
			if l.Count() > 0 {
				t.Errorf("instance %d: the limit is in force %v after an answer named it last, want at most %v", n, time.Since(named), lifetime)
			}
		}
	})
}
