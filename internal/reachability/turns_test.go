package reachability

import (
	"fmt"
	"testing"
	"time"
)

// TestEachTurnOfAServerBelongsToOneInstance guards against turns that two instances use, or one uses twice, and against instances
// without any.
func TestEachTurnOfAServerBelongsToOneInstance(t *testing.T) {
	const seconds = 400
	names := []string{"c", "a", "d", "b"}
	asked := map[string]int{}
	for _, server := range []string{"s0", "s1"} {
		used := 0
		for _, name := range names {
			own := newTurns(name, names)
			askedAt := time.Unix(1000, 0)
			for now := askedAt; now.Before(time.Unix(1000+seconds, 0)); now = now.Add(100 * time.Millisecond) {
				if own.mayAsk(now, server, askedAt) {
					askedAt, used, asked[name] = now, used+1, asked[name]+1
				}
			}
		}
		// The turn before the first second and that of its begin can be used too.
		if used > seconds+turnsValid || used < seconds*9/10 {
			t.Errorf("server %s was asked %d times in %d s, want about once a second", server, used, seconds)
		}
	}
	for _, name := range names {
		if want := 2 * seconds / len(names); asked[name] < want/2 || asked[name] > 2*want {
			t.Errorf("instance %s asked %d times, want about %d", name, asked[name], want)
		}
	}
}

// TestInstanceWithoutTurnsAsksInEachPeriod guards against an instance that doesn't learn that its cut is over, and against instances
// that all ask at the same time.
func TestInstanceWithoutTurnsAsksInEachPeriod(t *testing.T) {
	const instances, servers = 300, 50
	var names []string
	for n := range instances {
		names = append(names, fmt.Sprintf("i%03d", n))
	}
	period := newTurns(names[0], names).askPeriod(servers)
	if want := 6 * time.Second; period != want {
		t.Fatalf("each asks after %v, want %v", period, want)
	}
	begin := time.Unix(1000, 0)
	perSecond, perServer := map[int64]int{}, map[int]int{}
	for _, name := range names {
		own := newTurns(name, names)
		for now := begin; now.Before(begin.Add(period)); now = now.Add(100 * time.Millisecond) {
			if index, ok := own.without(now, now.Add(-100*time.Millisecond), servers); ok {
				perSecond[now.Unix()]++
				perServer[index]++
			}
		}
	}
	for second, n := range perSecond {
		if n > instances/6+1 {
			t.Errorf("%d instances ask in second %d, want %d", n, second, instances/6)
		}
	}
	for server := range servers {
		if perServer[server] < 5 || perServer[server] > 7 {
			t.Errorf("server %d is asked %d times in %v, want 6", server, perServer[server], period)
		}
	}
}
