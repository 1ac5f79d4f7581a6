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

// world is an authority with the files of one server.
type world struct {
	t         *testing.T
	authority *Authority
	directory string
}

func newWorld(t *testing.T) *world {
	t.Helper()
	authority, err := NewAuthority("test authority")
	if err != nil {
		t.Fatal(err)
	}
	return &world{t: t, authority: authority, directory: t.TempDir()}
}

// files issues a leaf good for 127.0.0.1 and writes it.
func (w *world) files(name string) Files {
	w.t.Helper()
	leaf, err := w.authority.Issue(name, "127.0.0.1")
	if err != nil {
		w.t.Fatal(err)
	}
	files, err := w.authority.WriteFiles(w.directory, name, leaf)
	if err != nil {
		w.t.Fatal(err)
	}
	return files
}

func (w *world) open(files Files) *Source {
	w.t.Helper()
	source, err := Open(files, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	return source
}

// serve accepts connections, and answers each with the client's name.
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
			greet(conn.(*tls.Conn))
		}
	}()
	return listener.Addr().String()
}

func greet(conn *tls.Conn) {
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

// ask connects, and returns who the server takes the client for and who it is.
func ask(source *Source, address string) (client, server string, err error) {
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
	w := newWorld(t)
	address := serve(t, w.open(w.files("server")).Server(ClientsMustShow))
	client, server, err := ask(w.open(w.files("client")), address)
	if err != nil || client != "client" || server != "server" {
		t.Fatalf("client %q, server %q, err %v", client, server, err)
	}
}

func TestStrangersAreRefused(t *testing.T) {
	w, other := newWorld(t), newWorld(t)
	serverFiles, clientFiles := w.files("server"), w.files("client")
	stranger := other.files("stranger")
	stranger.CA = clientFiles.CA
	bare := Files{CA: clientFiles.CA}
	noCA := Files{Cert: serverFiles.Cert, Key: serverFiles.Key}
	for name, test := range map[string]struct {
		server  Files
		clients ClientCertificates
		client  Files
	}{
		"client without a certificate":        {serverFiles, ClientsMustShow, bare},
		"client of another authority":         {serverFiles, ClientsMustShow, stranger},
		"client of another authority, may":    {serverFiles, ClientsMayShow, stranger},
		"server without a CA knows no client": {noCA, ClientsMustShow, clientFiles},
		"server of another authority":         {other.files("server"), ClientsNeedNone, clientFiles},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, w.open(test.server).Server(test.clients))
			client, _, err := ask(w.open(test.client), address)
			if err == nil {
				t.Fatalf("was let in as %q", client)
			}
		})
	}
}

func TestWithoutCertificateWhereOneMayBeShown(t *testing.T) {
	w := newWorld(t)
	files := w.files("server")
	address := serve(t, w.open(files).Server(ClientsMayShow))
	client, _, err := ask(w.open(Files{CA: files.CA}), address)
	if err != nil || client != "nobody" {
		t.Fatalf("client %q, err %v", client, err)
	}
}

func TestCertificateMustBeForTheAddress(t *testing.T) {
	w := newWorld(t)
	leaf, err := w.authority.Issue("elsewhere", "127.0.0.9")
	if err != nil {
		t.Fatal(err)
	}
	files, err := w.authority.WriteFiles(w.directory, "elsewhere", leaf)
	if err != nil {
		t.Fatal(err)
	}
	address := serve(t, w.open(files).Server(ClientsNeedNone))
	if _, _, err := ask(w.open(Files{CA: files.CA}), address); err == nil {
		t.Fatal("a certificate for another address was accepted")
	}
}

func TestOlderTLSIsRefused(t *testing.T) {
	w := newWorld(t)
	files := w.files("server")
	address := serve(t, w.open(files).Server(ClientsNeedNone))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(w.authority.CertPEM())
	conn, err := tls.Dial("tcp", address, &tls.Config{RootCAs: pool, MaxVersion: tls.VersionTLS12})
	if err == nil {
		conn.Close()
		t.Fatal("TLS 1.2 was accepted")
	}
}

// clock is a clock that tests move.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func TestChangedFilesAreReadAgain(t *testing.T) {
	for name, adapt := range map[string]func(*tls.Config){
		"as it is": func(*tls.Config) {},
		// Transports that choose the protocol themselves can't use this function.
		"without GetConfigForClient": func(c *tls.Config) { c.GetConfigForClient = nil },
	} {
		t.Run(name, func(t *testing.T) { testChangedFiles(t, adapt) })
	}
}

func testChangedFiles(t *testing.T, adapt func(*tls.Config)) {
	w := newWorld(t)
	files := w.files("server")
	c := &clock{now: time.Unix(1000, 0)}
	var failures []error
	source, err := open(files, func(err error) { failures = append(failures, err) }, c.read)
	if err != nil {
		t.Fatal(err)
	}
	config := source.Server(ClientsNeedNone)
	adapt(config)
	address := serve(t, config)
	client := w.open(Files{CA: files.CA})
	serverName := func() string {
		t.Helper()
		_, server, err := ask(client, address)
		if err != nil {
			t.Fatal(err)
		}
		return server
	}
	newer := w.files("newer")
	replace(t, newer.Cert, files.Cert, 1)
	if got := serverName(); got != "server" {
		t.Fatalf("before the next look the server is %q", got)
	}
	c.now = c.now.Add(PollInterval)
	if got := serverName(); got != "server" || len(failures) != 1 {
		t.Fatalf("a certificate without its key must change nothing; server %q, failures %v", got, failures)
	}
	replace(t, newer.Key, files.Key, 2)
	c.now = c.now.Add(PollInterval)
	if got := serverName(); got != "newer" {
		t.Fatalf("after both files changed the server is %q", got)
	}
}

// replace puts a new content under a name in one step, with a modification time of
// its own, since file systems may keep whole seconds.
func replace(t *testing.T, from, to string, seconds int64) {
	t.Helper()
	data, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	fresh := filepath.Join(t.TempDir(), "fresh")
	if err := os.WriteFile(fresh, data, 0o600); err != nil {
		t.Fatal(err)
	}
	when := time.Unix(2_000_000_000+seconds, 0)
	if err := os.Chtimes(fresh, when, when); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(fresh, to); err != nil {
		t.Fatal(err)
	}
}

func TestChangedAuthorityIsInForceForNewConnections(t *testing.T) {
	w, other := newWorld(t), newWorld(t)
	files := w.files("server")
	c := &clock{now: time.Unix(1000, 0)}
	source, err := open(files, nil, c.read)
	if err != nil {
		t.Fatal(err)
	}
	address := serve(t, source.Server(ClientsMustShow))
	newcomer := other.files("newcomer")
	newcomer.CA = files.CA
	client := w.open(Files{Cert: newcomer.Cert, Key: newcomer.Key, CA: w.files("copy").CA})
	if _, _, err := ask(client, address); err == nil {
		t.Fatal("the newcomer was let in before its authority was known")
	}
	replace(t, other.files("any").CA, files.CA, 3)
	c.now = c.now.Add(PollInterval)
	if name, _, err := ask(client, address); err != nil || name != "newcomer" {
		t.Fatalf("client %q, err %v", name, err)
	}
}

func TestOpenReportsBadFiles(t *testing.T) {
	w := newWorld(t)
	files := w.files("server")
	empty := filepath.Join(t.TempDir(), "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, bad := range map[string]Files{
		"absent":        {Cert: filepath.Join(t.TempDir(), "none"), Key: files.Key},
		"key missing":   {Cert: files.Cert},
		"empty CA":      {CA: empty},
		"key of others": {Cert: files.Cert, Key: w.files("other").Key},
	} {
		if _, err := Open(bad, nil); err == nil {
			t.Errorf("%s: was opened", name)
		}
	}
}

// net.Conn is what DialTLSContext must return.
var _ func(context.Context, string, string) (net.Conn, error) = (&Source{}).DialContext
