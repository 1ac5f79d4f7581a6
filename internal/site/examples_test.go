package site

import "testing"

// TestExamples shows that the example sites are valid and have the sizes that their
// users named.
func TestExamples(t *testing.T) {
	const root = "../../examples/"
	for _, want := range []struct {
		base, overlay                       string
		models, adapters, engines, services int
	}{
		{"rigline/base.json", "rigline/pnw.json", 26, 60, 12, 3},
		{"tichy-vers/base.json", "tichy-vers/bratislava.json", 40, 95, 18, 3},
	} {
		doc, err := Load(root+want.base, root+want.overlay)
		if err != nil {
			t.Errorf("%s: %v", want.base, err)
			continue
		}
		kinds := map[ServerKind]int{}
		fencing := map[bool]int{}
		var memory, once int64
		for _, s := range doc.Servers {
			kinds[s.Kind]++
			memory += s.MemoryMB
			if s.Kind == KindEngine {
				fencing[s.HonoursFencing]++
			}
		}
		for _, u := range doc.Units() {
			once += u.MemoryMB
		}
		if len(doc.Models) != want.models || len(doc.Adapters) != want.adapters || kinds[KindEngine] != want.engines || kinds[KindService] != want.services {
			t.Errorf("%s: %d models, %d adapters, servers %v", want.base, len(doc.Models), len(doc.Adapters), kinds)
		}
		if len(doc.FailureDomains) != 3 || fencing[true] == 0 || fencing[false] == 0 {
			t.Errorf("%s: failure domains %v, fencing %v", want.base, doc.FailureDomains, fencing)
		}
		if once > memory || 2*once <= memory {
			t.Errorf("%s: %d MiB once, of %d: must fit once and not twice", want.base, once, memory)
		}
	}
}
