package scheduling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/scheduling/pace"
	"limpethub/internal/verdict"
)

// mixedSpeed is the speed of servers of which a quarter is slow.
func mixedSpeed(server, _ int, _ time.Duration) float64 {
	if server%4 == 0 {
		return 1 / 0.55
	}
	return 1 / 1.2
}

// usualSpeed is the speed of servers that don't differ.
func usualSpeed(int, int, time.Duration) float64 { return 1 }

// TestSlowServersGetFewerRequests guards against requests that miss their objective on slow servers while fast
// ones have room, with and without noise. It compares with the same schedulers that don't use what they learn.
func TestSlowServersGetFewerRequests(t *testing.T) {
	for _, noise := range []bool{false, true} {
		options := paceOptions{speeds: SpeedsAlways, instances: 12, servers: 90, perSecond: 650, length: 14 * time.Second, noise: noise, speed: mixedSpeed}
		learned := runPace(options).share()
		options.off = true
		fixed := runPace(options).share()
		t.Logf("noise %v: share of requests within their objective %.3f, with fixed weights %.3f", noise, learned, fixed)
		if missed, allowed := 1-learned, 0.6*(1-fixed); missed > allowed {
			t.Errorf("noise %v: %.3f of the requests missed their objective, want at most 0.6 times the %.3f with fixed weights", noise, missed, 1-fixed)
		}
	}
}

// TestChangeOfSpeedIsFollowed guards against servers that slow down and still get requests, and against ones that
// have recovered and get none, since nobody sends to them.
func TestChangeOfSpeedIsFollowed(t *testing.T) {
	const slowFrom, slowUntil = 8 * time.Second, 14 * time.Second
	found, recovered := map[int]time.Duration{}, map[int]time.Duration{}
	isChanged := func(server int) bool { return server%9 == 7 }
	run := runPace(paceOptions{speeds: SpeedsAlways, instances: 20, servers: 45, perSecond: 325, length: 20 * time.Second, seed: 1,
		speed: func(server, _ int, at time.Duration) float64 {
			if isChanged(server) && at >= slowFrom && at < slowUntil {
				return 3
			}
			return 1
		},
		eachTenth: func(s *paceSim, at time.Duration) {
			for i := range s.servers {
				slow := s.slow(i)
				if isChanged(i) && found[i] == 0 && slow > s.instances*9/10 {
					found[i] = at - slowFrom
				}
				if isChanged(i) && at > slowUntil && recovered[i] == 0 && slow < s.instances/10 {
					recovered[i] = at - slowUntil
				}
			}
		}})
	t.Logf("found after %v, recovered after %v, share %.3f", found, recovered, run.share())
	for i := range run.servers {
		if isChanged(i) && (found[i] == 0 || found[i] > 2*time.Second) {
			t.Errorf("90 %% of the instances found server %d slow after %v, want at most 2 s", i, found[i])
		}
		if isChanged(i) && (recovered[i] == 0 || recovered[i] > 5*time.Second) {
			t.Errorf("90 %% of the instances found that server %d has recovered after %v, want at most 5 s", i, recovered[i])
		}
	}
}

// TestServerThatBecomesFreeIsNotOverrun guards against 60 instances that all send to the one server that was slow
// and is as fast as the others again: for a digest period, all of them find it empty.
func TestServerThatBecomesFreeIsNotOverrun(t *testing.T) {
	const instances, servers = 60, 20
	received := map[string]int{}
	for i := range instances {
		s, err := New(Options{Instance: fmt.Sprint(i), Seed: uint64(i), Document: testDocument(), Speeds: SpeedsAlways})
		if err != nil {
			t.Fatal(err)
		}
		c := s.(*core)
		var list []Server
		for k := range servers {
			list = append(list, Server{Name: fmt.Sprintf("s%02d", k), Pool: "llm", Slots: paceSlots})
		}
		c.SetServers(epoch, list)
		for k, server := range list {
			c.ObserveResident(epoch, server.Name, []modelref.Ref{"m@1"})
			if k > 0 {
				c.ObserveDigest(epoch, ServerDigest{Instance: "peer", Server: server.Name, Outstanding: 10, Sequence: 1})
			}
		}
		// The answer of a warm-up request gives predictions.
		d := requireOne(t, c.Arrive(epoch, poolRequest("warm")), Dispatch)
		c.Finish(epoch, Outcome{ID: "warm", Server: d.Server, Verdict: verdict.Ran, FirstToken: 100 * time.Millisecond, Duration: time.Second, Tokens: 10})
		c.servers["s00"].pace.differsUntil = epoch.Add(time.Second)
		received[requireOne(t, c.Arrive(epoch, poolRequest("r")), Dispatch).Server]++
	}
	t.Logf("requests by server: %v", received)
	if n := received["s00"]; n == 0 || n > paceSlots {
		t.Errorf("%d of %d instances sent to the server that became free, want some, but at most its %d slots", n, instances, paceSlots)
	}
}

func poolRequest(id request.ID) request.Request {
	r := testRequest(id)
	r.Service = "llm"
	return r
}

// TestFleetFillsAFreedServerLikeOthers is the same over some seconds: a server that was slow and became empty never
// gets more requests than the fullest of the others.
func TestFleetFillsAFreedServerLikeOthers(t *testing.T) {
	const freed, slowFrom, slowUntil = 5, 2 * time.Second, 7 * time.Second
	run := runPace(paceOptions{speeds: SpeedsAlways, instances: 60, servers: 20, perSecond: 200, length: 10 * time.Second, seed: 1, copies: 20,
		speed: func(server, _ int, at time.Duration) float64 {
			if server == freed && at >= slowFrom && at < slowUntil {
				return 4
			}
			return 1
		},
		eachTenth: func(s *paceSim, at time.Duration) {
			for _, server := range s.servers {
				if at < slowUntil {
					server.most = 0
				}
			}
		}})
	fullest := 0
	for i, server := range run.servers {
		if i != freed {
			fullest = max(fullest, server.most)
		}
	}
	t.Logf("at most %d requests on the server that became free, %d on another", run.servers[freed].most, fullest)
	if run.servers[freed].most > fullest {
		t.Errorf("the server that became free had %d requests, want at most %d as on another", run.servers[freed].most, fullest)
	}
}

// wronglySlow returns the largest share of instances that counted a server as slow after a warm-up.
func wronglySlow(options paceOptions) (share float64) {
	options.eachTenth = func(s *paceSim, at time.Duration) {
		if at < 4*time.Second {
			return
		}
		all := 0
		for i := range s.servers {
			all += s.slow(i)
		}
		share = max(share, float64(all)/float64(s.instances*len(s.servers)))
	}
	runPace(options)
	return share
}

// TestOtherCausesAreNotTheServersSpeed guards against disturbances of some hundred milliseconds, slow models and
// long prompts that count as slow servers.
func TestOtherCausesAreNotTheServersSpeed(t *testing.T) {
	base := paceOptions{speeds: SpeedsAlways, instances: 12, servers: 60, perSecond: 200, length: 12 * time.Second, speed: usualSpeed}
	noisy, slowModels, longPrompts := base, base, base
	noisy.noise = true
	slowModels.modelSlowdown = func(model int) float64 { return 0.5 + float64(model%5) }
	slowModels.perSecond = 60
	longPrompts.promptTokens = func(model int, r *rand.Rand) int {
		return int(100 * math.Pow(100, r.Float64()) * float64(1+model%2))
	}
	longPrompts.perSecond = 120
	for name, options := range map[string]paceOptions{"noise": noisy, "slow models": slowModels, "long prompts": longPrompts} {
		share := wronglySlow(options)
		t.Logf("%s: %.3f of the servers counted as slow at most", name, share)
		if share > 0.02 {
			t.Errorf("%s: %.3f of the servers counted as slow, want at most 0.02", name, share)
		}
	}
}

// TestServersThatDoNotDifferAreTreatedAsBefore guards against decisions that change although no server differs.
func TestServersThatDoNotDifferAreTreatedAsBefore(t *testing.T) {
	received := func(off bool) (out []int) {
		run := runPace(paceOptions{speeds: SpeedsAlways, instances: 10, servers: 30, perSecond: 100, length: 10 * time.Second, off: off, speed: usualSpeed})
		for _, server := range run.servers {
			out = append(out, server.received)
		}
		return out
	}
	learned, fixed := received(false), received(true)
	for i := range fixed {
		if learned[i] != fixed[i] {
			t.Fatalf("server %d got %d requests, want %d as without the speed of servers", i, learned[i], fixed[i])
		}
	}
}

// TestServersThatSlowDownGetALowerLimit guards against servers that are filled although they slow down long before.
func TestServersThatSlowDownGetALowerLimit(t *testing.T) {
	const early = 4
	options := paceOptions{speeds: SpeedsAlways, instances: 12, servers: 60, perSecond: 560, length: 14 * time.Second,
		speed: func(server, running int, _ time.Duration) float64 {
			if server%4 == 0 {
				return max(1, float64(running)/early)
			}
			return 1
		}}
	learned := runPace(options)
	options.off = true
	fixed := runPace(options)
	limited, wrong := 0, 0
	for _, server := range learned.servers {
		limit := learned.schedulers[0].servers[server.name].pace.limit
		if limit > 0 && server.index%4 == 0 {
			limited++
		}
		if limit > 0 && server.index%4 != 0 {
			wrong++
		}
	}
	t.Logf("%d of 15 servers have a lower limit, %d of 45 others; share %.3f, with fixed limits %.3f", limited, wrong, learned.share(), fixed.share())
	if learned.share() < fixed.share()+0.04 {
		t.Errorf("%.3f of the requests met their objective, want at least 0.04 more than the %.3f with fixed limits", learned.share(), fixed.share())
	}
	if wrong > 2 {
		t.Errorf("%d of 45 servers that don't slow down have a lower limit, want at most 2", wrong)
	}
}

// TestChangesOfSpeedDoNotFillTheLog guards against a line for each server of a large service, and for each swing of one.
func TestChangesOfSpeedDoNotFillTheLog(t *testing.T) {
	c := newScheduler(t, "s1").(*core)
	var list []Server
	for i := range 100 {
		list = append(list, Server{Name: fmt.Sprint(i), Pool: "llm", Slots: paceSlots})
	}
	c.SetServers(epoch, list)
	now, changes := epoch, map[string]int{}
	tell := func(factor float64) (told int) {
		for i := range 40 {
			speed := pace.Estimate{Light: pace.Part{Factor: factor, Weight: 4, Load: 0.1}}
			c.ObserveDigest(now, ServerDigest{Instance: "peer", Server: fmt.Sprint(i), Speed: speed, Sequence: uint64(now.UnixNano())})
		}
		for _, change := range c.TakeSpeedChanges() {
			changes[change.Server]++
			told++
		}
		return told
	}
	for range 4 {
		now = now.Add(250 * time.Millisecond)
		tell(3)
	}
	if all := len(changes); all == 0 || all > maxChanges+changesPerSecond*2 {
		t.Errorf("%d servers told slow in the first second, want some, but at most about %d", all, maxChanges)
	}
	for i := range 32 {
		now = now.Add(250 * time.Millisecond)
		tell([]float64{1, 3}[i/4%2])
	}
	for server, n := range changes {
		if n > 1 {
			t.Errorf("server %s: %d changes told within 9 s, want 1", server, n)
		}
	}
	told := 0
	for range 400 {
		now = now.Add(250 * time.Millisecond)
		told += tell(1)
	}
	if told == 0 {
		t.Error("no server told to have recovered")
	}
}

// TestSpeedIsOnlyLearnedWhereServersStateIt guards against services whose servers state nothing, where the time of a
// request mostly depends on what is cached, and whose requests would be spread by differences that aren't the servers'.
func TestSpeedIsOnlyLearnedWhereServersStateIt(t *testing.T) {
	for _, noise := range []bool{false, true} {
		run := runPace(paceOptions{instances: 12, servers: 90, perSecond: 650, length: 8 * time.Second, seed: 1, speed: mixedSpeed, noise: noise})
		differing := 0
		for _, s := range run.schedulers[0].ServerSpeeds(run.now) {
			if s.Factor != 1 {
				differing++
			}
		}
		// Only with noise do the servers state how long work takes.
		if (differing > 0) != noise {
			t.Errorf("%d servers count as different, with statements: %v", differing, noise)
		}
	}
}
