package membership

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/peers"
)

var start = time.Unix(1_700_000_000, 0)

func identity(name string) Identity {
	return Identity{
		Name: name, CallerAddress: name + ":8080", PeerAddress: name + ":7443", FailureDomain: "zone",
	}
}

func alive(name string, incarnation uint64) Record {
	id := identity(name)
	return Record{
		Name: name, Incarnation: incarnation, CallerAddress: id.CallerAddress,
		PeerAddress: id.PeerAddress, FailureDomain: id.FailureDomain,
	}
}

// newMachineKnowing makes a machine that has heard from the named members.
func newMachineKnowing(names ...string) *Machine {
	m := New(identity("self"), 10, DefaultSettings(), 1)
	for _, name := range names {
		m.Receive(start, Message{Type: TypePing, From: name, Records: []Record{alive(name, 5)}})
	}
	return m
}

func stateOf(m *Machine, name string) State {
	for _, member := range m.Members() {
		if member.Name == name {
			return member.State
		}
	}
	return 0
}

func TestListedMemberIsDeadUntilHeard(t *testing.T) {
	m := New(identity("self"), 10, DefaultSettings(), 1)
	m.SetListed(start, []Listed{{Identity: identity("a")}, {Identity: identity("self")}})
	if got := stateOf(m, "a"); got != Dead {
		t.Errorf("listed and not heard from: %v, want dead", got)
	}
	outgoing := m.Tick(start)
	if len(outgoing) != 1 || outgoing[0].To != "a" || outgoing[0].Message.Type != TypePing {
		t.Errorf("messages %+v, want one ping to the listed member", outgoing)
	}
	m.Receive(start, Message{Type: TypeAck, From: "a", Records: []Record{alive("a", 1)}})
	if got := stateOf(m, "a"); got != Alive {
		t.Errorf("heard from: %v, want alive", got)
	}
}

func TestRefutesClaimsAboutItself(t *testing.T) {
	for _, claim := range []Record{
		{Name: "self", Incarnation: 10, Status: StatusSuspect},
		{Name: "self", Incarnation: 10, Status: StatusDead},
		{Name: "self", Incarnation: 10, Leaving: true},
		{Name: "self", Incarnation: 99},
	} {
		m := newMachineKnowing("a")
		m.Receive(start, Message{Type: TypeRecords, From: "a", Records: []Record{claim}})
		if got := m.Self().Incarnation; got != claim.Incarnation+1 {
			t.Errorf("claim %+v: incarnation %d, want %d", claim, got, claim.Incarnation+1)
		}
	}
	m := newMachineKnowing("a")
	m.Receive(start, Message{Type: TypeRecords, From: "a", Records: []Record{{Name: "self", Incarnation: 9, Status: StatusDead}}})
	if got := m.Self().Incarnation; got != 10 {
		t.Errorf("a claim of an older incarnation changed the incarnation to %d, want 10", got)
	}
}

func TestDeathClaimOfAPeerOnlyCausesSuspicion(t *testing.T) {
	m := newMachineKnowing("a", "b")
	m.Receive(start, Message{Type: TypeRecords, From: "b", Records: []Record{{Name: "a", Incarnation: 5, Status: StatusDead}}})
	if got := stateOf(m, "a"); got != Suspect {
		t.Errorf("state = %v, want suspect", got)
	}
	m.Receive(start, Message{Type: TypeRecords, From: "b", Records: []Record{alive("a", 6)}})
	if got := stateOf(m, "a"); got != Alive {
		t.Errorf("after the refutation: %v, want alive", got)
	}
}

func TestSuspectIsDeadAfterTimeout(t *testing.T) {
	m := newMachineKnowing("a", "b")
	m.Receive(start, Message{Type: TypeRecords, From: "b", Records: []Record{{Name: "a", Incarnation: 5, Status: StatusSuspect}}})
	// The last tick is at 1.15 s, just before SuspicionTimeout.
	for i := range 24 {
		m.Tick(start.Add(time.Duration(i) * 50 * time.Millisecond))
	}
	if got := stateOf(m, "a"); got != Suspect {
		t.Errorf("before the timeout: %v, want suspect", got)
	}
	m.Tick(start.Add(DefaultSettings().SuspicionTimeout))
	if got := stateOf(m, "a"); got != Dead {
		t.Errorf("after the timeout: %v, want dead", got)
	}
}

func TestOlderIncarnationIsIgnored(t *testing.T) {
	m := newMachineKnowing("a")
	m.Receive(start, Message{Type: TypeRecords, From: "a", Records: []Record{{Name: "a", Incarnation: 7, Leaving: true}}})
	m.Receive(start, Message{Type: TypeRecords, From: "b", Records: []Record{alive("a", 6)}})
	if got := stateOf(m, "a"); got != Leaving {
		t.Errorf("state = %v, want leaving", got)
	}
	m.Receive(start, Message{Type: TypeRecords, From: "a", Records: []Record{alive("a", 8)}})
	if got := stateOf(m, "a"); got != Alive {
		t.Errorf("higher incarnation that isn't leaving: %v, want alive", got)
	}
}

func TestLeavingFromPlatformListPersists(t *testing.T) {
	m := newMachineKnowing("a")
	m.SetListed(start, []Listed{{Identity: identity("a"), Leaving: true}})
	if got := stateOf(m, "a"); got != Leaving {
		t.Errorf("state = %v, want leaving", got)
	}
	m.SetListed(start, nil)
	if got := stateOf(m, "a"); got != Leaving {
		t.Errorf("after the member disappeared from the list: %v, want still leaving", got)
	}
}

func TestDeadUnlistedMemberIsForgotten(t *testing.T) {
	m := newMachineKnowing("a")
	settings := DefaultSettings()
	m.Tick(start)
	m.suspect(start, m.members["a"])
	now := start.Add(settings.SuspicionTimeout)
	m.tickSuspects(now)
	m.tickDead(now.Add(settings.ForgetAfter - time.Second))
	if stateOf(m, "a") != Dead {
		t.Fatal("forgotten before ForgetAfter had passed, want dead")
	}
	m.tickDead(now.Add(settings.ForgetAfter + time.Second))
	if got := stateOf(m, "a"); got != 0 {
		t.Errorf("state = %v, want forgotten", got)
	}
}

// TestMessagesFitAndStayWithinTheRecordBudget guards against messages that exceed a
// datagram and against records that exceed their rate limit, while 3,000 members change.
func TestMessagesFitAndStayWithinTheRecordBudget(t *testing.T) {
	m := newMachineKnowing()
	var records []Record
	for i := range 3000 {
		name := fmt.Sprintf("entry-instance-with-a-long-name-%04d", i)
		records = append(records, alive(name, 1))
	}
	m.Receive(start, Message{Type: TypePing, From: records[0].Name, Records: records})
	const seconds = 30
	recordBytes := 0
	for tick := range seconds * 20 {
		now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		outgoing := m.Tick(now)
		outgoing = append(outgoing, m.Receive(now, Message{Type: TypeSync, From: records[0].Name, Buckets: make([]uint64, bucketCount)})...)
		for _, sent := range outgoing {
			data, err := sent.Message.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if len(data) > peers.MaxDatagramBytes {
				t.Fatalf("message of %d bytes exceeds a datagram", len(data))
			}
			for _, r := range sent.Message.Records {
				// The records of the sender and the receiver don't count towards the rate limit.
				if r.Name != "self" && r.Name != sent.To {
					recordBytes += r.size()
				}
			}
		}
	}
	settings := DefaultSettings()
	budget := settings.RecordBytesPerSecond*seconds + settings.RecordBurstBytes
	if recordBytes > budget {
		t.Errorf("%d bytes of records in %d s, want at most %d", recordBytes, seconds, budget)
	}
	if recordBytes < budget*9/10 {
		t.Errorf("%d bytes of records, want at least nine tenths of the budget, so that the rate limit applies", recordBytes)
	}
}

func TestRecordSizeBoundsItsEncoding(t *testing.T) {
	full := alive("entry-0001", 1<<62)
	full.Status, full.Leaving = StatusDead, true
	for _, r := range []Record{full, {Name: "x"}, {Name: "x", Incarnation: 1 << 63, Status: StatusSuspect, Leaving: true}} {
		with, err := Message{Type: TypePing, From: "a", Records: []Record{r}}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		without, err := Message{Type: TypePing, From: "a"}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if recordBytes := len(with) - len(without); recordBytes > r.size()+2 {
			t.Errorf("%+v takes %d bytes, more than its size of %d and the array header", r, recordBytes, r.size())
		}
	}
}

func TestMessageRoundTripAndRefusal(t *testing.T) {
	message := Message{Type: TypePing, From: "a", Sequence: 7, Revision: 3, Records: []Record{alive("a", 1)}}
	data, err := message.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil || decoded.Records[0] != message.Records[0] || decoded.Revision != 3 {
		t.Errorf("round trip: got %+v, %v, want the message that was encoded", decoded, err)
	}
	for _, bad := range []Message{{Type: 99, From: "a"}, {Type: TypePing}, {Type: TypePing, From: "a", Records: []Record{{}}}} {
		data, err := bad.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(data); err == nil {
			t.Errorf("malformed message %+v was accepted", bad)
		}
	}
	if _, err := Decode([]byte("nonsense")); err == nil {
		t.Error("bytes that aren't CBOR were accepted")
	}
}
