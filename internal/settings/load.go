package settings

import (
	"fmt"
	"strings"

	"limpethub/internal/strictjson"
)

// Load reads and checks a settings file. The error, of type strictjson.Problems,
// lists everything that is wrong.
func Load(path string) (Settings, error) {
	node, problems := strictjson.ReadFile(path)
	if node == nil {
		return Settings{}, problems.Err()
	}
	return check(node, problems)
}

// Parse is Load for text that is not in a file; file names it in errors.
func Parse(file string, data []byte) (Settings, error) {
	node, problems := strictjson.Parse(file, data)
	if node == nil {
		return Settings{}, problems.Err()
	}
	return check(node, problems)
}

func check(node *strictjson.Node, problems strictjson.Problems) (Settings, error) {
	s := Default()
	c := &checker{index: strictjson.NewIndex(node), problems: problems}
	c.add(strictjson.Read(node, &s, c.index)...)
	c.listeners(&s)
	c.upstreams(&s)
	c.plugins(&s.Plugins)
	if err := c.problems.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// checker collects problems that no single field shows.
type checker struct {
	index    *strictjson.Index
	problems strictjson.Problems
}

func (c *checker) add(problems ...strictjson.Problem) {
	c.problems = append(c.problems, problems...)
}

func (c *checker) report(path, mend, format string, args ...any) {
	c.add(c.index.Problem(path, mend, format, args...))
}

func (c *checker) listeners(s *Settings) {
	c.listener("listeners.callers", s.Listeners.Callers)
	c.listener("listeners.operators", s.Listeners.Operators)
	c.listener("listeners.peers", s.Listeners.Peers)
	c.peers(s.Listeners.Peers)
	c.operators(s)
	c.sharedAddresses(s)
}

func (c *checker) listener(path string, l Listener) {
	if l.Disabled {
		return
	}
	if !l.Plaintext && !l.Unauthenticated {
		c.pair(path+".tls", l.TLS, "or set plaintext to true")
	}
	unspecified := strings.HasPrefix(l.Address, "0.0.0.0:") || strings.HasPrefix(l.Address, "[::]:")
	if unspecified && l.Advertise == "" {
		c.report(path+".address", "add advertise with the address that others reach", "%s is no address that others can use", l.Address)
	}
}

// pair requires a certificate and its key.
func (c *checker) pair(path string, f Files, otherwise string) {
	if f.Cert == "" {
		c.report(path+".cert_file", "name the file of the certificate "+otherwise, "is missing")
	}
	if f.Key == "" {
		c.report(path+".key_file", "name the file of the private key "+otherwise, "is missing")
	}
}

func (c *checker) peers(l Listener) {
	if l.Plaintext {
		c.report("listeners.peers.plaintext", "remove it and name key files", "peers talk over QUIC, which has no plain text")
	}
	if l.TLS.CA == "" && !l.Unauthenticated {
		c.report("listeners.peers.tls.ca_file", "name the file that signs the peers' certificates", "is missing")
	}
}

// operators requires a way for operators to show who they are.
func (c *checker) operators(s *Settings) {
	l := s.Listeners.Operators
	if l.Disabled {
		return
	}
	if l.Plaintext && s.Operators.TokenFile == "" {
		c.report("operators.token_file", "name a file of tokens", "is missing, and the operators' listener has no TLS, so that nobody could be an operator")
	}
	if !l.Plaintext && l.TLS.CA == "" && s.Operators.TokenFile == "" {
		c.report("listeners.operators.tls.ca_file", "name it, or operators.token_file, or both", "is missing, so that nobody could be an operator")
	}
}

func (c *checker) sharedAddresses(s *Settings) {
	callers, operators := s.Listeners.Callers.Address, s.Listeners.Operators.Address
	if callers != "" && callers == operators && !strings.HasSuffix(callers, ":0") {
		c.report("listeners.operators.address", "give each listener a port of its own", "%s is also the callers' address", operators)
	}
}

func (c *checker) upstreams(s *Settings) {
	c.upstream("platform", s.Platform)
	c.upstream("servers", s.Servers)
}

func (c *checker) upstream(path string, u Upstream) {
	if u.Plaintext {
		return
	}
	c.pair(path+".tls", u.TLS, "or set plaintext to true")
	if u.TLS.CA == "" {
		c.report(path+".tls.ca_file", "name the file that signs the other side's certificates or set plaintext to true", "is missing")
	}
}

func (c *checker) plugins(p *Plugins) {
	c.plugin("store", p.Store)
	c.plugin("engine", p.Engine)
	c.plugin("instances", p.Instances)
	c.plugin("peers", p.Peers)
	c.plugin("routing", p.Routing)
	c.plugin("placement", p.Placement)
	c.plugin("front", p.Front.Plugin())
	c.plugin("discovery", p.Discovery.Plugin())
	if (p.Front.Name == "") != (p.Discovery.Name == "") {
		c.report("plugins.discovery.name", "name both or none", "front and discovery go together")
	}
}

func (c *checker) plugin(kind string, p Plugin) {
	if p.Name != "" && !strings.HasPrefix(p.Name, kind+".") {
		c.report("plugins."+kind+".name", fmt.Sprintf("write a name that starts with %q", kind+"."), "%q is no plug-in of the kind %s", p.Name, kind)
	}
}

// Warnings lists what the settings allow that operators should know of, one
// sentence each. The daemon logs them when it starts.
func (s Settings) Warnings() []string {
	var out []string
	plain := func(is bool, what string) {
		if is {
			out = append(out, what+" in plain text, since the settings say so")
		}
	}
	plain(s.Listeners.Callers.Plaintext, "callers are served")
	plain(s.Listeners.Operators.Plaintext, "operators and their tokens are served")
	if s.Listeners.Peers.Unauthenticated {
		out = append(out, "whoever reaches the peers' listener counts as a peer, since the settings say so")
	}
	plain(s.Platform.Plaintext, "the platform is reached")
	plain(s.Servers.Plaintext, "backend servers are reached")
	return out
}
