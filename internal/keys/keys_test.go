package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testPKI is a certificate authority with a directory for the files it issues.
type testPKI struct {
	t         *testing.T
	authority *Authority
	directory string
}

func newTestPKI(t *testing.T) *testPKI {
	t.Helper()
	authority, err := NewAuthority("test authority")
	if err != nil {
		t.Fatal(err)
	}
	return &testPKI{t: t, authority: authority, directory: t.TempDir()}
}

// issueFiles issues a certificate that is valid for 127.0.0.1 and writes its files.
func (p *testPKI) issueFiles(name string) Files {
	p.t.Helper()
	leaf, err := p.authority.Issue(name, "127.0.0.1")
	if err != nil {
		p.t.Fatal(err)
	}
	files, err := p.authority.WriteFiles(p.directory, name, leaf)
	if err != nil {
		p.t.Fatal(err)
	}
	return files
}

func (p *testPKI) open(files Files) *Source {
	p.t.Helper()
	source, err := Open(files, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	return source
}

// serve starts a TLS server that answers each connection with the client's name from its
// certificate. It returns the address.
func serve(t *testing.T, config *tls.Config) string {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			writeClientName(conn.(*tls.Conn))
		}
	}()
	return listener.Addr().String()
}

func writeClientName(conn *tls.Conn) {
	defer conn.Close()
	if err := conn.Handshake(); err != nil {
		return
	}
	name := "nobody"
	if chains := conn.ConnectionState().VerifiedChains; len(chains) > 0 {
		name = chains[0][0].Subject.CommonName
	}
	io.WriteString(conn, name)
}

// connect connects to a server and returns the client's name as the server sees it and the
// name in the server's certificate.
func connect(source *Source, address string) (client, server string, err error) {
	conn, err := source.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return "", "", err
	}
	defer conn.Close()
	answer, err := io.ReadAll(conn)
	leaf := conn.(*tls.Conn).ConnectionState().PeerCertificates[0]
	return string(answer), leaf.Subject.CommonName, err
}

func TestMutualTLS(t *testing.T) {
	pki := newTestPKI(t)
	address := serve(t, pki.open(pki.issueFiles("server")).Server(RequiredClientCertificate))
	client, server, err := connect(pki.open(pki.issueFiles("client")), address)
	if err != nil || client != "client" || server != "server" {
		t.Fatalf("got client %q, server %q, error %v; want client and server", client, server, err)
	}
}

func TestUntrustedPeersAreRefused(t *testing.T) {
	pki, other := newTestPKI(t), newTestPKI(t)
	serverFiles, clientFiles := pki.issueFiles("server"), pki.issueFiles("client")
	untrustedClient := other.issueFiles("stranger")
	untrustedClient.CA = clientFiles.CA
	noCertificate := Files{CA: clientFiles.CA}
	noCA := Files{Cert: serverFiles.Cert, Key: serverFiles.Key}
	for name, test := range map[string]struct {
		server  Files
		clients ClientCertificates
		client  Files
	}{
		"client without a certificate":                      {serverFiles, RequiredClientCertificate, noCertificate},
		"client of another authority":                       {serverFiles, RequiredClientCertificate, untrustedClient},
		"client of another authority, certificate optional": {serverFiles, OptionalClientCertificate, untrustedClient},
		"server without a CA knows no client":               {noCA, RequiredClientCertificate, clientFiles},
		"server of another authority":                       {other.issueFiles("server"), NoClientCertificate, clientFiles},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, pki.open(test.server).Server(test.clients))
			client, _, err := connect(pki.open(test.client), address)
			if err == nil {
				t.Fatalf("the connection was accepted with the client name %q, want an error", client)
			}
		})
	}
}

func TestClientWithoutOptionalCertificateIsAccepted(t *testing.T) {
	pki := newTestPKI(t)
	files := pki.issueFiles("server")
	address := serve(t, pki.open(files).Server(OptionalClientCertificate))
	client, _, err := connect(pki.open(Files{CA: files.CA}), address)
	if err != nil || client != "nobody" {
		t.Fatalf("got client %q, error %v; want nobody", client, err)
	}
}

func TestCertificateMustBeForTheAddress(t *testing.T) {
	pki := newTestPKI(t)
	leaf, err := pki.authority.Issue("elsewhere", "127.0.0.9")
	if err != nil {
		t.Fatal(err)
	}
	files, err := pki.authority.WriteFiles(pki.directory, "elsewhere", leaf)
	if err != nil {
		t.Fatal(err)
	}
	address := serve(t, pki.open(files).Server(NoClientCertificate))
	if _, _, err := connect(pki.open(Files{CA: files.CA}), address); err == nil {
		t.Fatal("a certificate for another address was accepted, want an error")
	}
}

func TestOlderTLSVersionIsRefused(t *testing.T) {
	pki := newTestPKI(t)
	files := pki.issueFiles("server")
	address := serve(t, pki.open(files).Server(NoClientCertificate))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pki.authority.CertPEM())
	conn, err := tls.Dial("tcp", address, &tls.Config{RootCAs: pool, MaxVersion: tls.VersionTLS12})
	if err == nil {
		conn.Close()
		t.Fatal("TLS 1.2 was accepted, want an error")
	}
}

// fakeClock is a clock that a test sets.
type fakeClock struct{ now time.Time }

func (c *fakeClock) read() time.Time { return c.now }

func TestChangedFilesAreReloaded(t *testing.T) {
	for name, modify := range map[string]func(*tls.Config){
		"with GetConfigForClient": func(*tls.Config) {},
		// Transports that select the protocol themselves can't use GetConfigForClient.
		"without GetConfigForClient": func(c *tls.Config) { c.GetConfigForClient = nil },
	} {
		t.Run(name, func(t *testing.T) { testChangedFiles(t, modify) })
	}
}

func testChangedFiles(t *testing.T, modify func(*tls.Config)) {
	pki := newTestPKI(t)
	files := pki.issueFiles("server")
	c := &fakeClock{now: time.Unix(1000, 0)}
	var failures []error
	source, err := open(files, func(err error) { failures = append(failures, err) }, c.read)
	if err != nil {
		t.Fatal(err)
	}
	config := source.Server(NoClientCertificate)
	modify(config)
	address := serve(t, config)
	client := pki.open(Files{CA: files.CA})
	serverName := func() string {
		t.Helper()
		_, server, err := connect(client, address)
		if err != nil {
			t.Fatal(err)
		}
		return server
	}
	newer := pki.issueFiles("newer")
	replace(t, newer.Cert, files.Cert, 1)
	if got := serverName(); got != "server" {
		t.Fatalf("before the next check: got server %q, want the old one", got)
	}
	c.now = c.now.Add(PollInterval)
	if got := serverName(); got != "server" || len(failures) != 1 {
		t.Fatalf("a certificate without its key must be reported once and change nothing; got server %q, failures %v", got, failures)
	}
	replace(t, newer.Key, files.Key, 2)
	c.now = c.now.Add(PollInterval)
	if got := serverName(); got != "newer" {
		t.Fatalf("after both files changed: got server %q, want newer", got)
	}
}

// replace atomically replaces the content of a file. It derives a distinct modification time
// from the version, because a file system may store it only in whole seconds.
func replace(t *testing.T, from, to string, version int64) {
	t.Helper()
	data, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	replacement := filepath.Join(t.TempDir(), "fresh")
	if err := os.WriteFile(replacement, data, 0o600); err != nil {
		t.Fatal(err)
	}
	modified := time.Unix(2_000_000_000+version, 0)
	if err := os.Chtimes(replacement, modified, modified); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(replacement, to); err != nil {
		t.Fatal(err)
	}
}

func TestChangedAuthorityAppliesToNewConnections(t *testing.T) {
	pki, other := newTestPKI(t), newTestPKI(t)
	files := pki.issueFiles("server")
	c := &fakeClock{now: time.Unix(1000, 0)}
	source, err := open(files, nil, c.read)
	if err != nil {
		t.Fatal(err)
	}
	address := serve(t, source.Server(RequiredClientCertificate))
	newClient := other.issueFiles("newcomer")
	newClient.CA = files.CA
	// The client uses a copy of the CA file, because files.CA is replaced below.
	client := pki.open(Files{Cert: newClient.Cert, Key: newClient.Key, CA: pki.issueFiles("copy").CA})
	if _, _, err := connect(client, address); err == nil {
		t.Fatal("a client of the new authority was accepted before the authority was in the CA file")
	}
	replace(t, other.issueFiles("any").CA, files.CA, 3)
	c.now = c.now.Add(PollInterval)
	if name, _, err := connect(client, address); err != nil || name != "newcomer" {
		t.Fatalf("got client %q, error %v; want newcomer", name, err)
	}
}

func TestOpenReportsBadFiles(t *testing.T) {
	pki := newTestPKI(t)
	files := pki.issueFiles("server")
	empty := filepath.Join(t.TempDir(), "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, bad := range map[string]Files{
		"absent":        {Cert: filepath.Join(t.TempDir(), "none"), Key: files.Key},
		"key missing":   {Cert: files.Cert},
		"empty CA":      {CA: empty},
		"key of others": {Cert: files.Cert, Key: pki.issueFiles("other").Key},
	} {
		if _, err := Open(bad, nil); err == nil {
			t.Errorf("%s: Open succeeded, want an error", name)
		}
	}
}

// DialContext must have the type of http.Transport.DialTLSContext.
var _ func(context.Context, string, string) (net.Conn, error) = (&Source{}).DialContext
