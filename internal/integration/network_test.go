package integration

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"limpethub/internal/instancelist"
	"limpethub/internal/keys"
	"limpethub/internal/lab/bench"
	"limpethub/internal/lab/entry"
	"limpethub/internal/lab/faultproxy"
	"limpethub/internal/operatorapi"
	"limpethub/internal/settings"
	"limpethub/internal/site"
)

// freeUDPAddress returns a local UDP address that is not in use at the moment.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

// useUDPProxies makes each instance that is started from now on advertise the address of a UDP
// proxy to its peers. Each start adds its proxy to the returned map, by instance name.
func (r *rig) useUDPProxies() map[string]*faultproxy.UDPProxy {
	proxies := map[string]*faultproxy.UDPProxy{}
	r.processes = r.newProcesses(func(s *settings.Settings) {
		s.Listeners.Peers.Address = freeUDPAddress(r.t)
		proxy, err := faultproxy.ListenUDP(s.Listeners.Peers.Address)
		if err != nil {
			r.t.Fatal(err)
		}
		proxies[s.Instance] = proxy
		s.Listeners.Peers.Advertise = proxy.Address()
	})
	r.t.Cleanup(func() {
		for _, proxy := range proxies {
			proxy.Close()
		}
	})
	return proxies
}

// TestInstanceCutOffFromPeers drops what peers send to one instance, and its answers to them.
// The instance must still serve and get configuration changes. The others must not list it to
// callers until the connection is back.
func TestInstanceCutOffFromPeers(t *testing.T) {
	r := newRig(t)
	proxies := r.useUDPProxies()
	instances := r.startThree()
	proxies["entry-1"].SetFaults(faultproxy.UDPFaults{DropToServer: true, DropToClient: true})
	r.eventually("the other instances no longer list the unreachable one", func() bool {
		return len(r.entries(instances[1])) == 2 && len(r.entries(instances[2])) == 2
	})
	if got := r.complete(instances[0], "alpha", 2); got.status != http.StatusOK {
		t.Fatalf("request to the unreachable instance: got %d %s, want 200", got.status, got.body)
	}
	changed := r.Document
	changed.Classes = append([]site.Class(nil), r.Document.Classes...)
	changed.Classes[0].QueueLimit = 77
	if _, err := instances[1].Operator.Apply(t.Context(), operatorapi.ApplyRequest{BaseRevision: 1, ChangeID: "cut", Document: changed}); err != nil {
		t.Fatal(err)
	}
	r.waitForRevision(instances, 2)
	proxies["entry-1"].SetFaults(faultproxy.UDPFaults{})
	for _, p := range instances {
		r.eventually("the instance lists all instances again", func() bool { return len(r.entries(p)) == 3 })
	}
	r.checkMemory()
}

// TestTLS checks that the listeners for callers and operators use TLS with the configured
// certificate files, and that the one for callers refuses plain HTTP.
func TestTLS(t *testing.T) {
	r := newRig(t)
	var ca string
	r.processes = r.newProcesses(func(s *settings.Settings) {
		files := s.Listeners.Peers.TLS
		ca = files.CA
		s.Listeners.Callers.Plaintext, s.Listeners.Callers.TLS = false, files
		s.Listeners.Operators.Plaintext, s.Listeners.Operators.TLS = false, files
	})
	started, err := r.processes.StartUnconfigured(bench.DaemonOptions{
		Name: "entry-1", FailureDomain: domains[0], Document: &r.Document,
		StoreAddress: r.storeAddress, ListAddress: r.ListAddress(), OrderToken: "lab-orders",
	})
	if err != nil {
		t.Fatal(err)
	}
	r.instances["entry-1"] = started
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: certPool(t, ca)}}}
	operator := operatorapi.NewClient("https://"+started.OperatorAddress(), entry.OperatorToken, client)
	if _, err := operator.Apply(t.Context(), operatorapi.ApplyRequest{ChangeID: "first", Document: r.Document}); err != nil {
		t.Fatal(err)
	}
	r.eventually("callers are served over TLS", func() bool {
		resp, err := client.Get("https://" + started.CallerAddress() + "/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	if plain := send(t.Context(), http.MethodGet, "http://"+started.CallerAddress()+"/readyz", "", nil); plain.status == http.StatusOK {
		t.Fatal("plain HTTP request succeeded on the TLS listener, want a failure")
	}
}

func certPool(t *testing.T, file string) *x509.CertPool {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	out := x509.NewCertPool()
	if !out.AppendCertsFromPEM(data) {
		t.Fatalf("no certificate found in %s", file)
	}
	return out
}

// TestNewCAForPeers replaces the certificate authority (CA) of the peers while instances run,
// in three steps: trust both CAs, replace each certificate by one of the new CA, stop trusting
// the old CA. An instance that doesn't reload its files can't connect to one with new files.
func TestNewCAForPeers(t *testing.T) {
	r := newRig(t)
	files := map[string]settings.Files{}
	r.processes = r.newProcesses(func(s *settings.Settings) { files[s.Instance] = s.Listeners.Peers.TLS })
	instances := r.startThree()
	oldCA := readFile(t, files["entry-1"].CA)
	newCA, err := keys.NewAuthority("new authority")
	if err != nil {
		t.Fatal(err)
	}
	bothCAs := append(append([]byte(nil), oldCA...), newCA.CertPEM()...)
	for _, f := range files {
		writeFile(t, f.CA, bothCAs)
	}
	time.Sleep(2 * keys.PollInterval)
	for name, f := range files {
		leaf, err := newCA.Issue(name, "127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, f.Key, leaf.Key)
		writeFile(t, f.Cert, leaf.Cert)
	}
	time.Sleep(2 * keys.PollInterval)
	for _, f := range files {
		writeFile(t, f.CA, newCA.CertPEM())
	}
	time.Sleep(2 * keys.PollInterval)
	// The instance added here has only files of the new CA; all others must list it.
	r.processes = r.newProcesses(func(s *settings.Settings) {
		leaf, err := newCA.Issue(s.Instance, "127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		written, err := newCA.WriteFiles(t.TempDir(), s.Instance, leaf)
		if err != nil {
			t.Fatal(err)
		}
		s.Listeners.Peers.TLS = settings.Files{Cert: written.Cert, Key: written.Key, CA: written.CA}
	})
	newInstance, err := r.processes.StartUnconfigured(bench.DaemonOptions{
		Name: "entry-4", FailureDomain: domains[0], Document: &r.Document,
		StoreAddress: r.storeAddress, ListAddress: r.ListAddress(), OrderToken: "lab-orders",
	})
	if err != nil {
		t.Fatal(err)
	}
	r.instances["entry-4"] = newInstance
	r.List.Put(instancelist.Instance{Name: "entry-4", CallerAddress: newInstance.CallerAddress(), PeerAddress: newInstance.PeerAddress(), FailureDomain: domains[0]})
	for _, p := range append(instances, newInstance) {
		r.eventually("the instance lists all four instances", func() bool { return len(r.entries(p)) == 4 })
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
