package entries

import (
	"fmt"
	"testing"

	"limpethub/internal/membership"
)

// TestCallersArentSentToInstancesThatReachNoServer: such an instance can only pass requests on. While most are
// like that, callers still spread over all, as the few others would have to read all requests too.
func TestCallersArentSentToInstancesThatReachNoServer(t *testing.T) {
	for _, test := range []struct{ members, cut, want int }{
		{members: 8, cut: 0, want: 8}, {members: 8, cut: 1, want: 7}, {members: 8, cut: 4, want: 4},
		{members: 8, cut: 5, want: 8}, {members: 8, cut: 8, want: 8}, {members: 1, cut: 1, want: 1},
		{members: 295, cut: 59, want: 236},
	} {
		var members []membership.Member
		for n := range test.members {
			members = append(members, membership.Member{Identity: membership.Identity{Name: fmt.Sprint(n), CallerAddress: "a"}, State: membership.Alive})
		}
		reaches := func(name string) bool {
			var n int
			_, _ = fmt.Sscan(name, &n)
			return n >= test.cut
		}
		got := Reaching(members, reaches)
		if len(got) != test.want {
			t.Errorf("%d of %d instances cut off: callers are sent to %d, want %d", test.cut, test.members, len(got), test.want)
		}
	}
}
