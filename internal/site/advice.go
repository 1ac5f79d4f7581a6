package site

import (
	"fmt"
	"slices"
	"strings"

	"limpethub/internal/strictjson"
)

// Advise returns what is probably a mistake in a document that instances accept: entries without effect, names that
// nothing has, and limits that contradict each other.
func Advise(d *Document) []Finding {
	var out []Finding
	for _, check := range []Check{adviseRoutes, adviseTargets, adviseTimes, adviseWorkspaces, adviseKeys, adviseLimits, adviseClassNames, adviseUnusedClasses} {
		out = append(out, check(d)...)
	}
	return out
}

// LoadAdvice returns the findings of Advise for files that Load accepts, by file and line.
func LoadAdvice(base, overlay string) strictjson.Problems {
	_, err := Load(base, overlay, Advise)
	problems, _ := err.(strictjson.Problems)
	return problems
}

// adviseRoutes finds routes that match no request.
func adviseRoutes(d *Document) []Finding {
	var out []Finding
	firstByKey := map[[2]string]string{}
	for i, r := range d.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			out = append(out, newFinding(path+".path_prefix", "begin and end it with a slash", "%q matches no path", r.PathPrefix))
		}
		if strings.Contains(r.Host, ":") {
			out = append(out, newFinding(path+".host", "leave the port out", "%q matches no host, as ports aren't compared", r.Host))
		}
		key := [2]string{r.Host, r.PathPrefix}
		if first, taken := firstByKey[key]; taken {
			out = append(out, newFinding(path, "remove one of the two", "route %q has the same host and prefix, so this one matches nothing", first))
			continue
		}
		firstByKey[key] = r.Name
	}
	return out
}

// adviseTargets finds targets that only servers can offer which announce themselves.
func adviseTargets(d *Document) []Finding {
	var known []string
	for _, s := range d.Services {
		known = append(known, s.Name)
	}
	for _, p := range d.Pools {
		known = append(known, p.Service)
	}
	var out []Finding
	for i, r := range d.Routes {
		for j, target := range r.Targets {
			if !contains(known, target.Service) {
				out = append(out, newFinding(fmt.Sprintf("routes[%d].targets[%d].service", i, j), suggestName(target.Service, known),
					"no service or pool is named %q, so that only servers which announce themselves can offer it", target.Service))
			}
		}
	}
	return out
}

// adviseTimes finds limits of a route that contradict each other.
func adviseTimes(d *Document) []Finding {
	var out []Finding
	for i, r := range d.Routes {
		if r.ObjectiveMillis > r.TimeoutMillis {
			out = append(out, newFinding(fmt.Sprintf("routes[%d].objective_ms", i), "lower it, or raise timeout_ms",
				"an answer is cut off after %d ms, before the objective of %d ms", r.TimeoutMillis, r.ObjectiveMillis))
		}
		if r.Kind == RouteOnce && r.MaxAttempts > 1 {
			out = append(out, newFinding(fmt.Sprintf("routes[%d].max_attempts", i), "write 1, unless refused requests are to be sent on",
				"requests of kind once are sent again only if a server refused them"))
		}
	}
	return out
}

// adviseWorkspaces finds workspaces that no caller can belong to, and names that two have.
func adviseWorkspaces(d *Document) []Finding {
	var out []Finding
	var names []string
	for i, w := range d.Workspaces {
		if len(w.KeyHashes) == 0 {
			out = append(out, newFinding(fmt.Sprintf("workspaces[%d].key_hashes", i), "add a key, or remove the workspace", "no caller can belong to a workspace without keys"))
		}
		if slices.Contains(names, w.Name) {
			out = append(out, newFinding(fmt.Sprintf("workspaces[%d].name", i), "give each its own", "two workspaces are named %q", w.Name))
		}
		names = append(names, w.Name)
	}
	return out
}

// adviseKeys finds keys that occur twice. Hashes are compared as the numbers that they are, in upper or lower case.
func adviseKeys(d *Document) []Finding {
	var out []Finding
	holder := map[string]string{}
	for i, w := range d.Workspaces {
		for j, hash := range w.KeyHashes {
			hash = strings.ToLower(hash)
			if first, taken := holder[hash]; taken {
				out = append(out, newFinding(fmt.Sprintf("workspaces[%d].key_hashes[%d]", i, j), "remove it from one of them", "workspace %q has the same key", first))
				continue
			}
			holder[hash] = w.Name
		}
	}
	return out
}

// adviseLimits finds limits of workspaces that no request fits into, or that have no effect.
func adviseLimits(d *Document) []Finding {
	var out []Finding
	for i, w := range d.Workspaces {
		path := fmt.Sprintf("workspaces[%d].limit.burst", i)
		l := w.Limit
		// A request without a number of tokens has the least cost that is known here.
		cost := l.Cost(0, false)
		switch {
		case l.Unlimited() && l.Burst > 0:
			out = append(out, newFinding(path, "set per_second, or remove burst", "a burst has no effect without a rate"))
		case !l.Unlimited() && l.Burst > 0 && l.Burst < float64(cost):
			out = append(out, newFinding(path, "raise it to the cost of a request at least", "the burst of %g is below the %d that a plain request costs", l.Burst, cost))
		}
	}
	return out
}

// adviseClassNames finds classes that routes and workspaces name and that don't exist.
func adviseClassNames(d *Document) []Finding {
	var known []string
	for _, c := range d.Classes {
		known = append(known, c.Name)
	}
	var out []Finding
	check := func(path, class string) {
		if class != "" && d.ClassIndex(class) < 0 {
			out = append(out, newFinding(path, suggestName(class, known), "there is no class %q, so that the most urgent one is used", class))
		}
	}
	for i, r := range d.Routes {
		check(fmt.Sprintf("routes[%d].class", i), r.Class)
	}
	for i, w := range d.Workspaces {
		check(fmt.Sprintf("workspaces[%d].class", i), w.Class)
	}
	return out
}

// adviseUnusedClasses finds classes that only callers can name, in a header.
func adviseUnusedClasses(d *Document) []Finding {
	used := map[string]bool{}
	for _, m := range d.Models {
		used[m.Class] = true
	}
	for _, a := range d.Adapters {
		used[a.Class] = true
	}
	for _, s := range d.Services {
		used[s.Class] = true
	}
	for _, r := range d.Routes {
		used[r.Class] = true
	}
	for _, w := range d.Workspaces {
		used[w.Class] = true
	}
	var out []Finding
	for i, c := range d.Classes {
		if !used[c.Name] {
			out = append(out, newFinding(fmt.Sprintf("classes[%d]", i), "remove it, unless callers name it", "nothing in the configuration uses class %q", c.Name))
		}
	}
	return out
}
