package callerload

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"
)

// Guards against bytes that are lost or counted twice when many connections charge, yield and close at once.
func TestManyAccounts(t *testing.T) {
	b := New(Options{Limit: 2 << 20, Now: time.Now})
	var all sync.WaitGroup
	for range 100 {
		all.Go(func() {
			for range 20 {
				a := b.Open(func(Yield) {})
				_ = a.Received(100, true)
				a.BeginBody()
				if _, err := ReadBody(strings.NewReader(strings.Repeat("x", 100*kib)), -1, 200*kib, a); err == nil && a.EndBody() {
					a.EndRequest()
				}
				a.Close()
				a.Close()
			}
		})
	}
	all.Wait()
	if held := b.Held(); held != 0 {
		t.Errorf("%d bytes are held after all, want none", held)
	}
}

// Guards against a budget that isn't there.
func TestNoLimit(t *testing.T) {
	b := New(Options{Now: time.Now})
	a := b.Open(func(Yield) {})
	a.BeginBody()
	if err := a.Charge(1 << 40); err != nil {
		t.Errorf("got %v without a limit", err)
	}
	if !a.EndBody() || !b.Hold(1<<40) {
		t.Error("refused without a limit")
	}
	a.EndRequest()
	a.Close()
}

// Guards against a memory that is reserved by what callers announce, and a body that isn't the one that was sent.
func TestReadBodyChargesWhatHasCome(t *testing.T) {
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1000)
	for _, announced := range []int64{-1, int64(len(sent))} {
		b := New(Options{Limit: 8 << 20, Now: time.Now})
		a := b.Open(func(Yield) {})
		a.BeginBody()
		got, err := ReadBody(iotest.OneByteReader(bytes.NewReader(sent)), announced, 1<<20, a)
		if err != nil || !bytes.Equal(got, sent) {
			t.Fatalf("announced %d: got %d bytes, %v; want %d", announced, len(got), err, len(sent))
		}
		if held := b.Held() - connectionBytes; held != int64(cap(got)) {
			t.Errorf("announced %d: %d bytes are held, want %d", announced, held, cap(got))
		}
	}
	b := New(Options{Limit: 8 << 20, Now: time.Now})
	a := b.Open(func(Yield) {})
	a.BeginBody()
	most := int64(0)
	_, err := ReadBody(io.MultiReader(strings.NewReader("abc"), readerFunc(func([]byte) (int, error) {
		most = b.Held() - connectionBytes
		return 0, io.ErrUnexpectedEOF
	})), 1<<20, 1<<20, a)
	if !errors.Is(err, io.ErrUnexpectedEOF) || most != firstBodyBytes {
		t.Errorf("got %v with %d bytes held after 3 had come, want %d", err, most, firstBodyBytes)
	}
	if held := b.Held(); held != connectionBytes {
		t.Errorf("%d bytes are held after the body has failed, want those of the connection", held)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against log lines without end while the budget is used up.
func TestReportsAtMostOnceInAnInterval(t *testing.T) {
	now, reports := start, []Counts(nil)
	b := New(Options{Limit: 1 << 20, Now: func() time.Time { return now }, Report: func(c Counts) { reports = append(reports, c) }})
	for range 3 {
		_ = b.Open(func(Yield) {}).Charge(2 << 20)
	}
	now = now.Add(reportInterval)
	_ = b.Open(func(Yield) {}).Charge(2 << 20)
	if len(reports) != 2 || reports[0].Refused != 1 || reports[1].Refused != 3 {
		t.Errorf("reported %+v, want 1 refusal and then 3", reports)
	}
}
