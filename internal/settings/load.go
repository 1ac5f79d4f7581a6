package settings

import (
	"fmt"
	"strings"

	"limpethub/internal/strictjson"
)

// Load reads and checks a settings file. The error is of type strictjson.Problems
// and lists every problem found, not only the first.
func Load(path string) (Settings, error) {
	node, problems := strictjson.ReadFile(path)
	if node == nil {
		return Settings{}, problems.Err()
	}
	return check(node, problems)
}

// Parse is like Load for settings that are already in memory; file is the name to
// show in errors.
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
	c.checkListeners(&s)
	c.checkCallers(&s)
	c.checkUpstreams(&s)
	c.checkPlugins(&s.Plugins)
	if err := c.problems.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// minCallerBytes is the least bound on what callers make the process hold.
const minCallerBytes = 1 * mib

// checker collects problems that depend on more than one field; the validate tags
// cover those of a single field.
type checker struct {
	index    *strictjson.Index
	problems strictjson.Problems
}

func (c *checker) add(problems ...strictjson.Problem) {
	c.problems = append(c.problems, problems...)
}

func (c *checker) addAt(path, fix, format string, args ...any) {
	c.add(c.index.Problem(path, fix, format, args...))
}

func (c *checker) checkListeners(s *Settings) {
	c.checkListener("listeners.callers", s.Listeners.Callers)
	c.checkListener("listeners.operators", s.Listeners.Operators)
	c.checkListener("listeners.peers", s.Listeners.Peers)
	c.checkPeers(s.Listeners.Peers)
	c.checkOperators(s)
	c.checkSharedAddress(s)
}

// checkCallers requires that callers may send something, and that they hold less than the process.
func (c *checker) checkCallers(s *Settings) {
	bytes := s.Callers.MaxBytes
	if bytes > 0 && bytes < minCallerBytes {
		c.addAt("callers.max_bytes", fmt.Sprintf("write %d or more, or leave it out", minCallerBytes), "%d bytes are too few for the requests of callers", bytes)
	}
	if s.MemoryMB > 0 && bytes >= s.MemoryMB*mib {
		c.addAt("callers.max_bytes", "write less than memory_mb, or leave it out", "%d bytes are as much as the whole process may take", bytes)
	}
}

func (c *checker) checkListener(path string, l Listener) {
	if l.Disabled {
		return
	}
	if !l.Plaintext && !l.Unauthenticated {
		c.requireKeyPair(path+".tls", l.TLS, "or set plaintext to true; for listeners.peers, set unauthenticated instead")
	}
	unspecified := strings.HasPrefix(l.Address, "0.0.0.0:") || strings.HasPrefix(l.Address, "[::]:")
	if unspecified && l.Advertise == "" {
		c.addAt(path+".address", "add advertise with an address that others can connect to", "%s is not an address that others can connect to", l.Address)
	}
}

// requireKeyPair requires a certificate and its key. The hint names alternative, another
// way to correct the settings, after the file.
func (c *checker) requireKeyPair(path string, f Files, alternative string) {
	if f.Cert == "" {
		c.addAt(path+".cert_file", "name the file of the certificate, "+alternative, "is missing")
	}
	if f.Key == "" {
		c.addAt(path+".key_file", "name the file of the private key, "+alternative, "is missing")
	}
}

func (c *checker) checkPeers(l Listener) {
	if l.Plaintext {
		c.addAt("listeners.peers.plaintext", "remove it and name the files of tls", "peers connect over QUIC, which always uses TLS")
	}
	if l.TLS.CA == "" && !l.Unauthenticated {
		c.addAt("listeners.peers.tls.ca_file", "name the file of the CA certificates that sign the peers' certificates", "is missing")
	}
}

// checkOperators requires at least one way to authenticate operators: a client
// certificate or a token.
func (c *checker) checkOperators(s *Settings) {
	l := s.Listeners.Operators
	if l.Disabled {
		return
	}
	if l.Plaintext && s.Operators.TokenFile == "" {
		c.addAt("operators.token_file", "name a file of tokens", "is missing, and the operators' listener has no TLS, so that no operator can authenticate")
	}
	if !l.Plaintext && l.TLS.CA == "" && s.Operators.TokenFile == "" {
		c.addAt("listeners.operators.tls.ca_file", "name it, or operators.token_file, or both", "is missing, so that no operator can authenticate")
	}
}

func (c *checker) checkSharedAddress(s *Settings) {
	callers, operators := s.Listeners.Callers.Address, s.Listeners.Operators.Address
	if callers != "" && callers == operators && !strings.HasSuffix(callers, ":0") {
		c.addAt("listeners.operators.address", "give each listener its own port", "%s is also the address of listeners.callers", operators)
	}
}

func (c *checker) checkUpstreams(s *Settings) {
	c.checkUpstream("platform", s.Platform)
	c.checkUpstream("servers", s.Servers)
}

func (c *checker) checkUpstream(path string, u Upstream) {
	if u.Plaintext {
		return
	}
	c.requireKeyPair(path+".tls", u.TLS, "or set plaintext to true")
	if u.TLS.CA == "" {
		c.addAt(path+".tls.ca_file", "name the file of the CA certificates that sign the remote side's certificates, or set plaintext to true", "is missing")
	}
}

func (c *checker) checkPlugins(p *Plugins) {
	c.checkPlugin("store", p.Store)
	c.checkPlugin("engine", p.Engine)
	c.checkPlugin("instances", p.Instances)
	c.checkPlugin("peers", p.Peers)
	c.checkPlugin("routing", p.Routing)
	c.checkPlugin("placement", p.Placement)
	c.checkPlugin("front", p.Front.Plugin())
	c.checkPlugin("discovery", p.Discovery.Plugin())
	if (p.Front.Name == "") != (p.Discovery.Name == "") {
		c.addAt("plugins.discovery.name", "name both plug-ins or neither", "only one of plugins.front.name and plugins.discovery.name is set")
	}
}

func (c *checker) checkPlugin(kind string, p Plugin) {
	if p.Name != "" && !strings.HasPrefix(p.Name, kind+".") {
		c.addAt("plugins."+kind+".name", fmt.Sprintf("write a name that starts with %q", kind+"."), "%q is not a plug-in of kind %s", p.Name, kind)
	}
}

// Warnings lists the insecure choices in the settings, one sentence each. The daemon
// logs them when it starts.
func (s Settings) Warnings() []string {
	var warnings []string
	// warnPlaintext adds the warning that begins with beginning and ends with "without TLS".
	warnPlaintext := func(plaintext bool, beginning string) {
		if plaintext {
			warnings = append(warnings, beginning+" without TLS")
		}
	}
	warnPlaintext(s.Listeners.Callers.Plaintext, "listeners.callers.plaintext is true: callers are served")
	warnPlaintext(s.Listeners.Operators.Plaintext, "listeners.operators.plaintext is true: operators and their tokens are served")
	if s.Listeners.Peers.Unauthenticated {
		warnings = append(warnings, "listeners.peers.unauthenticated is true: any client that reaches the peers' listener is accepted as a peer")
	}
	warnPlaintext(s.Platform.Plaintext, "platform.plaintext is true: the platform is reached")
	warnPlaintext(s.Servers.Plaintext, "servers.plaintext is true: backend servers are reached")
	return warnings
}
