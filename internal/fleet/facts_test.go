package fleet

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"limpethub/internal/gossip"
	"limpethub/internal/membership"
	"limpethub/internal/peers"
	"limpethub/internal/quarantine"
	"limpethub/internal/request"
)

// facts is what an instance knows of the facts that belong to the fleet: the evidence on parts of
// prompts, joined as package crashguard does.
type facts struct {
	spreader *gossip.Spreader
	evidence *quarantine.Evidence
	// bytes counts the bytes of facts that the instance has sent.
	bytes int
}

func newFacts() *facts {
	return &facts{spreader: gossip.NewSpreader(), evidence: quarantine.NewEvidence()}
}

// attachFacts adds facts to a message as package cluster does.
func (n *instance) attachFacts(message *membership.Message) {
	if n.facts.spreader.Len() == 0 {
		return
	}
	without, err := message.Encode()
	if err != nil {
		n.w.oracle.addFault("message can't be encoded: %v", err)
		return
	}
	message.Facts = n.facts.spreader.Take(n.w.now, peers.MaxDatagramBytes-len(without)-8)
	with, err := message.Encode()
	if err != nil {
		n.w.oracle.addFault("message with facts can't be encoded: %v", err)
	}
	n.facts.bytes += len(with) - len(without)
}

func (n *instance) receiveFacts(message membership.Message) {
	for _, f := range message.Facts {
		n.learn(f.Timed(n.w.now))
	}
	n.notifyIfDue()
}

// learn joins a fact with what the instance knows, and has it passed on if it is new.
func (n *instance) learn(f gossip.Timed) {
	if f.Topic == gossip.TopicProof {
		if n.facts.evidence.AddProof(n.w.now, quarantine.PartSubject(request.Part(f.Key)), f.At) {
			n.facts.spreader.Put(f)
		}
		return
	}
	kind := quarantine.PromptPart
	if f.Topic == gossip.TopicRequestCrash {
		kind = quarantine.WholeRequest
	}
	c := quarantine.Crash{Process: f.Key, At: f.At}
	for value := f.Value; len(value) > 0; value = value[8:] {
		c.Subjects = append(c.Subjects, quarantine.Subject{Kind: kind, Hash: binary.LittleEndian.Uint64(value)})
	}
	if _, isNew := n.facts.evidence.AddCrash(n.w.now, c); isNew {
		n.facts.spreader.Put(f)
	}
}

func (n *instance) notifyIfDue() {
	if !n.facts.spreader.NotifyDue(n.w.now) {
		return
	}
	messages := n.machine.Notify(n.w.now)
	n.w.bytes += datagramOverheadBytes * len(messages)
	n.facts.bytes += notifyMessageBytes * len(messages)
	n.send(messages)
}

// notifyMessageBytes is what a message costs that is sent only for the facts in it.
const notifyMessageBytes = 130 + 30

func crashFactOf(process uint64, at time.Time, parts ...request.Part) gossip.Timed {
	f := gossip.Timed{Topic: gossip.TopicCrash, Key: process, At: at}
	for _, part := range parts {
		f.Value = binary.LittleEndian.AppendUint64(f.Value, uint64(part))
	}
	return f
}

// quarantinedOn counts the instances that keep requests with the parts away from servers.
func (w *world) quarantinedOn(parts ...request.Part) int {
	var subjects []quarantine.Subject
	for _, part := range parts {
		subjects = append(subjects, quarantine.PartSubject(part))
	}
	return w.quarantinedOnOf(subjects)
}

// quarantinedOnOf counts the instances that keep requests with the subjects away from servers.
func (w *world) quarantinedOnOf(subjects []quarantine.Subject) int {
	count := 0
	for _, n := range w.instances {
		if n.facts.evidence.Find(w.now, subjects).State == quarantine.Quarantined {
			count++
		}
	}
	return count
}

// TestAllInstancesQuarantineAPartThatEachSawOnce guards against evidence that stays where it was seen:
// each crash is seen by another instance, a tenth of the messages are lost, and nothing reaches the
// store.
func TestAllInstancesQuarantineAPartThatEachSawOnce(t *testing.T) {
	t.Parallel()
	const (
		bound = 3 * time.Second // From the third crash to the quarantine on each instance.
		// bytesBound is what each instance may send for it, whatever the size of the fleet.
		bytesBound = 12_000
	)
	for _, n := range []int{8, 68, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := newJoinedWorld(n, 3)
			w.advance(joinSettleTime)
			w.lossPerMille = 100
			for crash := range 3 {
				n := w.instances[w.random.IntN(len(w.instances))]
				n.learn(crashFactOf(uint64(crash), w.now, 1, 2, request.Part(100+crash)))
				w.advance(200 * time.Millisecond)
			}
			start := w.now
			for w.quarantinedOn(1, 2) < n && w.now.Sub(start) < bound {
				w.advance(50 * time.Millisecond)
			}
			if count := w.quarantinedOn(1, 2); count < n {
				t.Fatalf("%d of %d instances keep the part away %v after the third crash, want all", count, n, bound)
			}
			t.Logf("all %d instances after %v", n, w.now.Sub(start))
			w.advance(10 * time.Second)
			for _, i := range w.instances {
				if i.facts.bytes > bytesBound {
					t.Fatalf("an instance sent %d bytes of facts, want at most %d", i.facts.bytes, bytesBound)
				}
			}
		})
	}
}

// TestAllInstancesQuarantineARequestThatEachSawOnce guards against a request that each instance sends to a
// server once more because it hasn't had it yet. On each server that ends there are others, of which no
// two are alike.
func TestAllInstancesQuarantineARequestThatEachSawOnce(t *testing.T) {
	t.Parallel()
	const (
		bound      = 3 * time.Second // From the third crash to the quarantine on each instance.
		bytesBound = 20_000          // What each instance may send for it, whatever the size of the fleet.
		others     = 30
		dead       = 7
	)
	for _, n := range []int{8, 68, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := newJoinedWorld(n, 3)
			w.advance(joinSettleTime)
			w.lossPerMille = 100
			for crash := range 3 {
				f := gossip.Timed{Topic: gossip.TopicRequestCrash, Key: uint64(crash), At: w.now}
				f.Value = binary.LittleEndian.AppendUint64(f.Value, dead)
				for other := range others {
					f.Value = binary.LittleEndian.AppendUint64(f.Value, uint64(1000*crash+100+other))
				}
				w.instances[w.random.IntN(len(w.instances))].learn(f)
				w.advance(300 * time.Millisecond)
			}
			subjects := []quarantine.Subject{quarantine.RequestSubject(dead)}
			start := w.now
			for w.quarantinedOnOf(subjects) < n && w.now.Sub(start) < bound {
				w.advance(50 * time.Millisecond)
			}
			if count := w.quarantinedOnOf(subjects); count < n {
				t.Fatalf("%d of %d instances keep the request away %v after the third crash, want all", count, n, bound)
			}
			took := w.now.Sub(start)
			w.advance(10 * time.Second)
			most := 0
			for _, i := range w.instances {
				most = max(most, i.facts.bytes)
			}
			t.Logf("all %d instances %v after the third crash and 300ms, at most %d bytes of facts from one", n, took, most)
			if most > bytesBound {
				t.Errorf("an instance sent %d bytes of facts, want at most %d", most, bytesBound)
			}
		})
	}
}

// TestProofReachesAllInstances guards against an instance that refuses a part although another one
// has got answers for it since.
func TestProofReachesAllInstances(t *testing.T) {
	t.Parallel()
	for _, n := range []int{8, 295} {
		w := newJoinedWorld(n, 3)
		w.advance(joinSettleTime)
		for crash := range 4 {
			w.instances[crash].learn(crashFactOf(uint64(crash), w.now, 7))
			w.advance(100 * time.Millisecond)
		}
		w.advance(3 * time.Second)
		if count := w.quarantinedOn(7); count < n {
			t.Errorf("%d of %d instances keep the part away, want all", count, n)
		}
		w.instances[n-1].learn(gossip.Timed{Topic: gossip.TopicProof, Key: 7, At: w.now})
		w.advance(3 * time.Second)
		if count := w.quarantinedOn(7); count > 0 {
			t.Errorf("%d of %d instances still keep a proven part away after 3s, want none", count, n)
		}
	}
}

// TestRestartedInstanceLearnsFacts guards against an instance that starts after a quarantine began,
// got no answer to its first call, and never learns of it.
func TestRestartedInstanceLearnsFacts(t *testing.T) {
	t.Parallel()
	w := newJoinedWorld(8, 3)
	w.advance(joinSettleTime)
	for crash := range 3 {
		w.instances[crash].learn(crashFactOf(uint64(crash), w.now, 7))
		w.advance(100 * time.Millisecond)
	}
	w.advance(20 * time.Second)
	w.instances[5].stop()
	w.advance(time.Second)
	w.instances[5].start()
	w.advance(10 * time.Second)
	if count := w.quarantinedOn(7); count < 8 {
		t.Errorf("%d of 8 instances keep the part away, want also the one that was restarted", count)
	}
}

// BenchmarkQuarantineSpread measures, in virtual time, how long the third crash takes to put a part
// into quarantine on all instances, and the bytes of facts that an instance sends for it.
func BenchmarkQuarantineSpread(b *testing.B) {
	for _, n := range []int{8, 68, 295, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			w := newJoinedWorld(n, min(n, 10))
			w.advance(joinSettleTime)
			total := 0.0
			for round := range b.N {
				part := request.Part(1000 + round)
				for crash := range 3 {
					n := w.instances[w.random.IntN(len(w.instances))]
					n.learn(crashFactOf(uint64(10*round+crash), w.now, part))
					w.advance(200 * time.Millisecond)
				}
				start := w.now
				for w.quarantinedOn(part) < n {
					w.advance(20 * time.Millisecond)
				}
				total += w.now.Sub(start).Seconds()
				w.advance(5 * time.Second)
			}
			bytes := 0
			for _, i := range w.instances {
				bytes = max(bytes, i.facts.bytes)
			}
			b.ReportMetric(total/float64(b.N), "virtual-s/op")
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes-most/op")
		})
	}
}
