package entries

import "limpethub/internal/membership"

// minReachingShare is the least share of the instances that must reach the servers for the others to be left
// out.
const minReachingShare = 0.5

// Reaching returns the members that reach the servers by themselves, or all if too few of those that serve
// callers do.
//
// The load is a cut of some instances from all servers: they pass requests on, which costs more than a request
// that comes to the right instance at once. If most are cut off, the few others have enough to do with what is
// passed on to them.
func Reaching(members []membership.Member, reaches func(name string) bool) []membership.Member {
	serving := 0
	out := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if !serves(m) {
			continue
		}
		serving++
		if reaches(m.Name) {
			out = append(out, m)
		}
	}
	if float64(len(out)) < minReachingShare*float64(serving) {
		return members
	}
	return out
}
