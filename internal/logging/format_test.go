package logging

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

type word string

// TestFormatEqualsLogrusJSONFormatter guards against lines that differ from those of
// logrus.JSONFormatter, for random fields and messages.
func TestFormatEqualsLogrusJSONFormatter(t *testing.T) {
	library := &logrus.JSONFormatter{TimestampFormat: timeFormat}
	own := &jsonFormatter{}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.String(), rapid.StringMatching(`[a-z<>&"\\ ]{0,9}`))
		value := rapid.OneOf(
			rapid.Map(text, func(s string) any { return s }),
			rapid.Map(text, func(s string) any { return word(s) }),
			rapid.Map(text, func(s string) any { return errors.New(s) }),
			rapid.Map(text, func(s string) any { return []string{s} }),
			rapid.Map(rapid.Int64(), func(n int64) any { return n }),
			rapid.Map(rapid.Int(), func(n int) any { return n }),
			rapid.Map(rapid.Uint64(), func(n uint64) any { return n }),
			rapid.Map(rapid.Float64(), func(f float64) any { return f }),
			rapid.Map(rapid.Bool(), func(b bool) any { return b }),
			rapid.Just[any](nil),
		)
		key := rapid.OneOf(rapid.SampledFrom([]string{"time", "level", "msg", "request", "server"}), rapid.StringMatching(`[a-z_]{1,8}`))
		entry := &logrus.Entry{
			Data: rapid.MapOfN(key, value, 0, 12).Draw(t, "fields"), Message: text.Draw(t, "message"),
			Level: logrus.InfoLevel, Time: time.UnixMilli(rapid.Int64Range(0, 4e12).Draw(t, "time")).UTC(),
		}
		want, wantErr := library.Format(entry)
		got, err := own.Format(entry)
		if (err == nil) != (wantErr == nil) || !bytes.Equal(got, want) {
			t.Fatalf("got %s, %v; want %s, %v as logrus writes it", got, err, want, wantErr)
		}
	})
}

func BenchmarkLine(b *testing.B) {
	entry := For(New(io.Discard, logrus.InfoLevel), Gateway, "10.0.0.1")
	b.ReportAllocs()
	for b.Loop() {
		entry.WithFields(logrus.Fields{"request": "d4ef29c97730a002", "class": 1, "server": "i-3a9fe585e7", "ms": int64(40), "in_time": true}).Info("Ended")
	}
}
