package digest

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"limpethub/internal/modelref"
	"limpethub/internal/peers"
	"limpethub/internal/scheduling"
)

func TestSplitKeepsEverythingWithinDatagrams(t *testing.T) {
	d := Digest{Instance: "entry-0001", Sequence: math.MaxUint64, Process: "process-1"}
	for i := range 100 {
		d.Loads = append(d.Loads, ServerLoad{Server: fmt.Sprintf("server-%04d", i), Outstanding: math.MaxInt64, Tokens: math.MaxInt64})
		d.Demands = append(d.Demands, ModelDemand{
			Ref: modelref.New(fmt.Sprintf("model-%d", i), "1"), Class: math.MaxInt64, Requests: math.MaxUint64, Tokens: math.MaxUint64,
		})
		d.States = append(d.States, ServerState{Server: fmt.Sprintf("server-%04d", i), Unreachable: true, Leaving: true})
	}
	datagrams, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	whole := Digest{Instance: d.Instance, Sequence: d.Sequence, Process: d.Process}
	for _, data := range datagrams {
		if len(data) > peers.MaxDatagramBytes {
			t.Errorf("datagram of %d bytes is larger than peers.MaxDatagramBytes", len(data))
		}
		part, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		whole.Loads = append(whole.Loads, part.Loads...)
		whole.Demands = append(whole.Demands, part.Demands...)
		whole.States = append(whole.States, part.States...)
	}
	if !reflect.DeepEqual(whole, d) {
		t.Error("the decoded loads, demands or states of all datagrams together differ from those of the encoded digest")
	}
}

func TestEmptyDigestIsOneDatagram(t *testing.T) {
	datagrams, err := Digest{Instance: "a", Sequence: 1}.Encode()
	if err != nil || len(datagrams) != 1 {
		t.Errorf("got %d datagrams, %v, want 1", len(datagrams), err)
	}
}

func TestRemotesRoundTrip(t *testing.T) {
	serverDigests := []scheduling.ServerDigest{{Instance: "a", Server: "s", Outstanding: 3, Tokens: 40, Sequence: 9}}
	datagrams, err := FromServerDigests("a", 9, serverDigests).Encode()
	if err != nil {
		t.Fatal(err)
	}
	back, err := Decode(datagrams[0])
	if err != nil || !reflect.DeepEqual(back.ServerDigests(), serverDigests) {
		t.Errorf("round trip: got %+v, %v, want the encoded server digests", back.ServerDigests(), err)
	}
}

func TestMalformedIsRefused(t *testing.T) {
	negative, err := Digest{Instance: "a", Loads: []ServerLoad{{Server: "s", Outstanding: -1}}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{nil, []byte("nonsense"), negative[0]} {
		if _, err := Decode(data); err == nil {
			t.Errorf("Decode(%q) succeeded, want an error", data)
		}
	}
}
