package forward

import (
	"io"
	"testing"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// TestNothingIsSentOnceARequestMayNotRun guards against requests that reach a server although their key was revoked while
// they waited, before a second attempt, or before a broken stream goes on at another server.
func TestNothingIsSentOnceARequestMayNotRun(t *testing.T) {
	revoked := verdict.Refused(verdict.CodeUnauthorized, "revoked")
	lost := serverReply{err: verdict.Unclear(verdict.CodeServerFailed, nil, "lost")}
	refused := serverReply{status: 503, refused: true}
	broken := serverReply{status: 200, events: []int64{0, 1}, endErr: io.ErrUnexpectedEOF}
	for name, c := range map[string]struct {
		replies []serverReply
		// sends is how many times the request may be sent.
		sends       int
		wantVerdict verdict.Verdict
	}{
		"while it waits for a server": {nil, 0, verdict.NotRun},
		"after a refusal":             {[]serverReply{refused}, 1, verdict.NotRun},
		"after a lost answer":         {[]serverReply{lost}, 1, verdict.MayHaveRun},
		"before a stream is resumed":  {[]serverReply{broken}, 1, verdict.MayHaveRun},
	} {
		r, plane := newTestRelay(t, append(c.replies, serverReply{status: 200, body: "fine"})...)
		checks := 0
		r.options.Recheck = func(*request.Request) error {
			if checks++; checks > c.sends {
				return revoked
			}
			return nil
		}
		result, err := r.Relay(t.Context(), relayCall(true, 5), -1, &recordingCaller{})
		if len(plane.servers) != c.sends || result.Attempts != c.sends || checks != c.sends+1 {
			t.Errorf("%s: sent to %v after %d checks, want %d sends", name, plane.servers, checks, c.sends)
		}
		if e := verdictOf(t, err); e.Code != verdict.CodeUnauthorized || e.Verdict != c.wantVerdict {
			t.Errorf("%s: got %v, want code unauthorized, %v", name, e, c.wantVerdict)
		}
	}
}
