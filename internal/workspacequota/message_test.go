package workspacequota

import (
	"math"
	"reflect"
	"testing"
	"time"

	"limpethub/internal/peers"
)

// TestMessagesFitDatagrams guards against a message with the most items, all with their largest numbers, that no
// datagram can carry.
func TestMessagesFitDatagrams(t *testing.T) {
	m := message{Process: math.MaxUint64, ClockMillis: math.MaxInt64}
	for range maxItems {
		m.States = append(m.States, stateMessage{
			Workspace: math.MaxUint32, Limiter: math.MaxUint32, Version: math.MaxUint64, Balance: math.MinInt64,
			AdmitMillis: math.MaxUint16, CoveredMillis: math.MaxUint16, AgeMillis: math.MaxUint32, Quiet: true,
		})
	}
	data, err := encode(&m)
	if err != nil || len(data) > peers.MaxDatagramBytes {
		t.Errorf("got %d bytes and error %v, want at most %d", len(data), err, peers.MaxDatagramBytes)
	}
}

// TestReportSurvivesEncoding guards against a counter that gets lost or changes on its way.
func TestReportSurvivesEncoding(t *testing.T) {
	report := Report{
		Sequence: 7, Used: 5_000_000_000, Demanded: 6_000_000_000, CountedUsed: 4_999_990_000, CountedDemanded: 5_999_000_000,
		StateAge: 400 * time.Millisecond, State: State{Balance: -12_345, Admit: 0.25, Covered: 0.5},
	}
	data, err := encode(&message{Process: 9, Reports: []reportMessage{newReportMessage(3, report)}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if got := m.Reports[0].report(0); !reflect.DeepEqual(got, report) {
		t.Errorf("got %+v, want %+v", got, report)
	}
	for _, broken := range [][]byte{nil, []byte("nonsense"), data[:len(data)-1]} {
		if _, err := decode(broken); err == nil {
			t.Errorf("decode(%q) succeeded, want an error", broken)
		}
	}
}
