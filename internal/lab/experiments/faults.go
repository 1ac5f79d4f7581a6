// Package experiments holds the lab's experiments on a whole site: policies compared,
// moves under shifting demand, and the key-value service's outages.
package experiments

import (
	"fmt"
	"strings"
	"time"

	"limpethub/internal/lab/bench"
	"limpethub/internal/lab/standin/modelengine"
)

// Sizes of the faults.
const (
	slowFactor     = 5
	staleReportLag = 3 * time.Second
)

// noFault is the name of the run without a fault on the command line.
const noFault = "none"

// faults lists what may strike, by name.
func faults() []bench.Fault {
	return []bench.Fault{
		{},
		{Name: "server-dead", Strike: func(s *bench.Site) { s.KillServer(firstEngine(s)) }},
		{Name: "server-slow", Strike: func(s *bench.Site) {
			s.Engines[firstEngine(s)].SetFaults(modelengine.Faults{SlowFactor: slowFactor})
		}},
		{Name: "reports-stale", Strike: func(s *bench.Site) {
			for _, e := range s.Engines {
				e.SetFaults(modelengine.Faults{ReportLag: staleReportLag})
			}
		}},
		{Name: "instance-killed", Strike: func(s *bench.Site) { s.Daemons[0].Kill() }},
	}
}

// firstEngine is the name of the first engine in the document.
func firstEngine(s *bench.Site) string {
	for _, server := range s.Document.Servers {
		if _, ok := s.Engines[server.Name]; ok {
			return server.Name
		}
	}
	return ""
}

// faultNames lists the names for the command line.
func faultNames() []string {
	var out []string
	for _, f := range faults() {
		if f.Name == "" {
			f.Name = noFault
		}
		out = append(out, f.Name)
	}
	return out
}

func faultByName(name string) (bench.Fault, error) {
	for _, f := range faults() {
		if f.Name == name || (name == noFault && f.Name == "") {
			return f, nil
		}
	}
	return bench.Fault{}, fmt.Errorf("experiments: no fault %q; known: %s", name, strings.Join(faultNames(), ", "))
}

func profileByName(name string) (bench.Profile, error) {
	for _, p := range []bench.Profile{bench.Rigline(), bench.TichyVers()} {
		if p.Name == name {
			return p, nil
		}
	}
	return bench.Profile{}, fmt.Errorf("experiments: no site %q; known: rigline, tichy-vers", name)
}

// classesOf lists the classes of a site, the most urgent first.
func classesOf(p bench.Profile) []string {
	var out []string
	for _, class := range p.Document.Classes {
		out = append(out, class.Name)
	}
	return out
}
