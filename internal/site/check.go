package site

import (
	"fmt"
	"regexp"
	"sort"
	"strings"

	"limpethub/internal/strictjson"
)

// checks returns the checks that every document must pass.
func checks() []Check {
	return []Check{
		checkNames,
		checkFailureDomains,
		checkFloorShares,
		checkClassReferences,
		checkDefaults,
		checkSharedNames,
		checkBases,
		checkServers,
		checkAddresses,
		checkServices,
		checkFit,
	}
}

// newFinding returns a finding with a formatted message.
func newFinding(path, fix, format string, args ...any) Finding {
	return Finding{Path: path, Message: fmt.Sprintf(format, args...), Correction: fix}
}

// namePattern excludes characters that have a meaning in references, paths and log lines.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checkNames checks the characters of all names.
func checkNames(d *Document) []Finding {
	var out []Finding
	check := func(path, name string) {
		if name != "" && !namePattern.MatchString(name) {
			out = append(out, newFinding(path, "use letters, digits, dots, dashes and underscores, a letter or digit first", "%q has characters that a name can't have", name))
		}
	}
	check("site", d.Site)
	for i, domain := range d.FailureDomains {
		check(fmt.Sprintf("failure_domains[%d]", i), domain)
	}
	for i, c := range d.Classes {
		check(fmt.Sprintf("classes[%d].name", i), c.Name)
	}
	for i, m := range d.Models {
		check(fmt.Sprintf("models[%d].name", i), m.Name)
		check(fmt.Sprintf("models[%d].version", i), m.Version)
	}
	for i, a := range d.Adapters {
		check(fmt.Sprintf("adapters[%d].name", i), a.Name)
		check(fmt.Sprintf("adapters[%d].version", i), a.Version)
	}
	for i, s := range d.Servers {
		check(fmt.Sprintf("servers[%d].name", i), s.Name)
	}
	for i, s := range d.Services {
		check(fmt.Sprintf("services[%d].name", i), s.Name)
	}
	return out
}

// checkFailureDomains requires every failure domain to be listed once and to have a server.
func checkFailureDomains(d *Document) []Finding {
	hasServer := map[string]bool{}
	for _, s := range d.Servers {
		hasServer[s.FailureDomain] = true
	}
	var out []Finding
	seen := map[string]bool{}
	for i, domain := range d.FailureDomains {
		path := fmt.Sprintf("failure_domains[%d]", i)
		if seen[domain] {
			out = append(out, newFinding(path, "keep one of the two", "%q appears twice", domain))
			continue
		}
		seen[domain] = true
		if domain != "" && !hasServer[domain] {
			out = append(out, newFinding(path, "remove it, or put a server there", "no server is in failure domain %q", domain))
		}
	}
	return out
}

// checkFloorShares requires the floor shares of the classes to sum to less than 1, so that
// some dispatches remain that aren't reserved.
func checkFloorShares(d *Document) []Finding {
	sum := 0.0
	for _, c := range d.Classes {
		sum += c.FloorShare
	}
	if sum < 1 {
		return nil
	}
	return []Finding{newFinding("classes", "lower some, so that their sum stays below 1", "the floor shares add up to %.3g", sum)}
}

// checkClassReferences requires every class that models, adapters and services name to exist.
// The references of routes and pools aren't checked here: package platform fills them in when
// it converts its own configuration to a document.
func checkClassReferences(d *Document) []Finding {
	known := make([]string, len(d.Classes))
	for i, c := range d.Classes {
		known[i] = c.Name
	}
	var out []Finding
	check := func(path, class string) {
		if class != "" && d.ClassIndex(class) < 0 {
			out = append(out, newFinding(path, suggestName(class, known), "there is no class %q", class))
		}
	}
	for i, m := range d.Models {
		check(fmt.Sprintf("models[%d].class", i), m.Class)
	}
	for i, a := range d.Adapters {
		check(fmt.Sprintf("adapters[%d].class", i), a.Class)
	}
	for i, s := range d.Services {
		check(fmt.Sprintf("services[%d].class", i), s.Class)
	}
	return out
}

// suggestName returns the fix for an unknown name: the most similar known name, or else up
// to maxListed known names.
func suggestName(name string, known []string) string {
	const maxListed = 8
	if len(known) == 0 {
		return "add it"
	}
	if nearest := strictjson.Nearest(name, known); nearest != "" {
		return fmt.Sprintf("did you mean %q?", nearest)
	}
	if len(known) > maxListed {
		known = append(append([]string(nil), known[:maxListed]...), "…")
	}
	return "add it, or name one of " + strings.Join(known, ", ")
}

// nameVersions collects the versions of one name of a model or adapter.
type nameVersions struct {
	// paths are the fields of all versions, and defaults those of the default versions.
	paths    []string
	defaults []string
}

// checkDefaults requires every name of a model or adapter to have exactly one default
// version.
func checkDefaults(d *Document) []Finding {
	byName := map[string]*nameVersions{}
	addVersion := func(path, name string, isDefault bool) {
		if name == "" {
			return
		}
		v := byName[name]
		if v == nil {
			v = &nameVersions{}
			byName[name] = v
		}
		v.paths = append(v.paths, path)
		if isDefault {
			v.defaults = append(v.defaults, path)
		}
	}
	for i, m := range d.Models {
		addVersion(fmt.Sprintf("models[%d]", i), m.Name, m.Default)
	}
	for i, a := range d.Adapters {
		addVersion(fmt.Sprintf("adapters[%d]", i), a.Name, a.Default)
	}
	var out []Finding
	for _, name := range sortedKeys(byName) {
		out = append(out, defaultFindings(name, byName[name])...)
	}
	return out
}

func defaultFindings(name string, v *nameVersions) []Finding {
	if len(v.defaults) == 0 {
		return []Finding{newFinding(v.paths[0], `set "default": true on one version`, "no version of %q is the default", name)}
	}
	var out []Finding
	for _, path := range v.defaults[1:] {
		out = append(out, newFinding(path+".default", "keep the default of one version", "%q has more than one default version", name))
	}
	return out
}

// checkSharedNames requires that no adapter has the name of a model, because callers
// request both by name alone.
func checkSharedNames(d *Document) []Finding {
	models := map[string]bool{}
	for _, m := range d.Models {
		models[m.Name] = true
	}
	var out []Finding
	for i, a := range d.Adapters {
		if a.Name != "" && models[a.Name] {
			out = append(out, newFinding(fmt.Sprintf("adapters[%d].name", i), "give the adapter a name of its own", "%q is also the name of a model", a.Name))
		}
	}
	return out
}

// checkBases requires the base model version of every adapter to exist.
func checkBases(d *Document) []Finding {
	known := map[string]bool{}
	var names []string
	for _, m := range d.Models {
		known[string(m.Ref())] = true
		names = append(names, string(m.Ref()))
	}
	var out []Finding
	for i, a := range d.Adapters {
		if a.Base == "" || known[string(a.Base)] {
			continue
		}
		path := fmt.Sprintf("adapters[%d].base", i)
		if !strings.Contains(string(a.Base), "@") {
			out = append(out, newFinding(path, fmt.Sprintf("write %s@ and a version", a.Base), "%q names no version", a.Base))
			continue
		}
		out = append(out, newFinding(path, suggestName(string(a.Base), names), "there is no model %q", a.Base))
	}
	return out
}

// checkServers requires every server to be in a known failure domain, and to have the
// fields that its kind needs and no others.
func checkServers(d *Document) []Finding {
	var out []Finding
	for i, s := range d.Servers {
		path := fmt.Sprintf("servers[%d]", i)
		if s.FailureDomain != "" && !contains(d.FailureDomains, s.FailureDomain) {
			out = append(out, newFinding(path+".failure_domain", suggestName(s.FailureDomain, d.FailureDomains), "there is no failure domain %q", s.FailureDomain))
		}
		switch s.Kind {
		case KindEngine:
			out = append(out, checkEngine(path, s)...)
		case KindService:
			out = append(out, checkPlainServer(path, s)...)
		}
	}
	return out
}

func checkEngine(path string, s Server) []Finding {
	var out []Finding
	if s.MemoryMB == 0 {
		out = append(out, newFinding(path+".memory_mb", "write the accelerator memory of the engine in MiB", "an engine needs memory"))
	}
	if s.Accelerators == 0 {
		out = append(out, newFinding(path+".accelerators", "write how many accelerators the engine has", "an engine needs accelerators"))
	}
	return out
}

// checkPlainServer requires a server of plain services to have no accelerators, accelerator
// memory or roles.
func checkPlainServer(path string, s Server) []Finding {
	var out []Finding
	if s.MemoryMB > 0 || s.Accelerators > 0 {
		out = append(out, newFinding(path, "remove accelerators and memory_mb", "a server of plain services has no accelerators and no accelerator memory"))
	}
	if len(s.Roles) > 0 {
		out = append(out, newFinding(path+".roles", "remove it", "a server of plain services has no roles"))
	}
	return out
}

// checkAddresses requires the servers' addresses to be unique.
func checkAddresses(d *Document) []Finding {
	var out []Finding
	// serverByAddress holds the name of the first server with each address.
	serverByAddress := map[string]string{}
	for i, s := range d.Servers {
		if s.Address == "" {
			continue
		}
		if other, duplicate := serverByAddress[s.Address]; duplicate {
			out = append(out, newFinding(fmt.Sprintf("servers[%d].address", i), "give each server its own", "%s is also the address of server %q", s.Address, other))
			continue
		}
		serverByAddress[s.Address] = s.Name
	}
	return out
}

// checkServices requires the servers of every service to exist and to be of the kind
// service, and its idempotent paths to start with a slash.
func checkServices(d *Document) []Finding {
	kinds := map[string]ServerKind{}
	var serviceServers []string
	for _, s := range d.Servers {
		kinds[s.Name] = s.Kind
		if s.Kind == KindService {
			serviceServers = append(serviceServers, s.Name)
		}
	}
	var out []Finding
	for i, service := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		out = append(out, checkServersOf(path, service, kinds, serviceServers)...)
		for j, prefix := range service.IdempotentPaths {
			if !strings.HasPrefix(prefix, "/") {
				out = append(out, newFinding(fmt.Sprintf("%s.idempotent_paths[%d]", path, j), "start it with a slash", "%q does not start with a slash", prefix))
			}
		}
	}
	return out
}

// checkServersOf checks the list of servers of one service.
func checkServersOf(path string, service Service, kinds map[string]ServerKind, serviceServers []string) []Finding {
	var out []Finding
	seen := map[string]bool{}
	for j, name := range service.Servers {
		serverPath := fmt.Sprintf("%s.servers[%d]", path, j)
		kind, exists := kinds[name]
		switch {
		case seen[name]:
			out = append(out, newFinding(serverPath, "keep one of the two", "%q appears twice", name))
		case !exists:
			out = append(out, newFinding(serverPath, suggestName(name, serviceServers), "there is no server %q", name))
		case kind == KindEngine:
			out = append(out, newFinding(serverPath, "name a server of the kind service", "%q is a model engine, which offers no plain service", name))
		}
		seen[name] = true
	}
	return out
}

func contains(list []string, want string) bool {
	for _, s := range list {
		if s == want {
			return true
		}
	}
	return false
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
