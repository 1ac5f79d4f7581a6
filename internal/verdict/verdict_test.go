package verdict

import (
	"errors"
	"fmt"
	"testing"
)

func TestOfPlainErrorIsMayHaveRun(t *testing.T) {
	if got := Of(errors.New("x")); got != MayHaveRun {
		t.Fatalf("Of(plain error) = %v, want %v", got, MayHaveRun)
	}
}

func TestOfFindsWrappedVerdict(t *testing.T) {
	err := fmt.Errorf("outer: %w", Refused(CodeQueueFull, "full"))
	if got := Of(err); got != NotRun {
		t.Fatalf("Of(wrapped refusal) = %v, want %v", got, NotRun)
	}
}

func TestTextRoundTrip(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		text, err := v.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		var decoded Verdict
		if err := decoded.UnmarshalText(text); err != nil {
			t.Fatal(err)
		}
		if decoded != v {
			t.Fatalf("round trip of %v gave %v", v, decoded)
		}
	}
	var v Verdict
	if v.UnmarshalText([]byte("perhaps")) == nil {
		t.Fatal(`UnmarshalText accepted the unknown verdict "perhaps", want an error`)
	}
}
