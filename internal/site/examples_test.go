package site

import "testing"

// TestExamples guards against example sites that are invalid or don't have the sizes in the
// table: the numbers of models, adapters and servers. Their memory must also suffice for one
// copy of everything but not for two.
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
		serversByKind := map[ServerKind]int{}
		enginesByFencing := map[bool]int{}
		var totalMB, oneCopyMB int64
		for _, s := range doc.Servers {
			serversByKind[s.Kind]++
			totalMB += s.MemoryMB
			if s.Kind == KindEngine {
				enginesByFencing[s.HonoursFencing]++
			}
		}
		for _, u := range doc.Units() {
			oneCopyMB += u.MemoryMB
		}
		if len(doc.Models) != want.models || len(doc.Adapters) != want.adapters || serversByKind[KindEngine] != want.engines || serversByKind[KindService] != want.services {
			t.Errorf("%s: got %d models, %d adapters, servers %v, want %d models, %d adapters, %d engines, %d services", want.base, len(doc.Models), len(doc.Adapters), serversByKind, want.models, want.adapters, want.engines, want.services)
		}
		if len(doc.FailureDomains) != 3 || enginesByFencing[true] == 0 || enginesByFencing[false] == 0 {
			t.Errorf("%s: got failure domains %v, engines by fencing %v, want 3 domains, and engines with and without fencing", want.base, doc.FailureDomains, enginesByFencing)
		}
		if oneCopyMB > totalMB || 2*oneCopyMB <= totalMB {
			t.Errorf("%s: one copy of everything takes %d MiB of %d MiB; want one copy to fit and two not", want.base, oneCopyMB, totalMB)
		}
	}
}
