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

// freeUDPAddress is an address that nobody listens on now.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

// behindUDPProxies makes each instance reachable for peers through a proxy only.
func (r *rig) behindUDPProxies() map[string]*faultproxy.UDPProxy {
	proxies := map[string]*faultproxy.UDPProxy{}
	r.host = r.newHost(func(s *settings.Settings) {
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

// TestInstanceCutOffFromPeers drops all that peers send to one instance. It goes on
// serving and still gets a change of configuration; the others send callers elsewhere
// until the path is back.
func TestInstanceCutOffFromPeers(t *testing.T) {
	r := newRig(t)
	proxies := r.behindUDPProxies()
	instances := r.startThree()
	proxies["entry-1"].SetFaults(faultproxy.UDPFaults{DropToServer: true, DropToClient: true})
	r.eventually("the others send callers elsewhere", func() bool {
		return len(r.entries(instances[1])) == 2 && len(r.entries(instances[2])) == 2
	})
	if got := r.complete(instances[0], "alpha", 2); got.status != http.StatusOK {
		t.Fatalf("the instance that is cut off: %d %s", got.status, got.body)
	}
	changed := r.Document
	changed.Classes = append([]site.Class(nil), r.Document.Classes...)
	changed.Classes[0].QueueLimit = 77
	if _, err := instances[1].Operator.Apply(t.Context(), operatorapi.ApplyRequest{BaseRevision: 1, ChangeID: "cut", Document: changed}); err != nil {
		t.Fatal(err)
	}
	r.inForce(instances, 2)
	proxies["entry-1"].SetFaults(faultproxy.UDPFaults{})
	for _, p := range instances {
		r.eventually("all know each other again", func() bool { return len(r.entries(p)) == 3 })
	}
	r.memoryHeld()
}

// TestTLS serves callers and operators over TLS with certificates from files.
func TestTLS(t *testing.T) {
	r := newRig(t)
	var ca string
	r.host = r.newHost(func(s *settings.Settings) {
		files := s.Listeners.Peers.TLS
		ca = files.CA
		s.Listeners.Callers.Plaintext, s.Listeners.Callers.TLS = false, files
		s.Listeners.Operators.Plaintext, s.Listeners.Operators.TLS = false, files
	})
	started, err := r.host.StartUnconfigured(bench.DaemonOptions{
		Name: "entry-1", FailureDomain: domains[0], Document: &r.Document,
		StoreAddress: r.storeAddress, ListAddress: r.ListAddress(), OrderToken: "lab-orders",
	})
	if err != nil {
		t.Fatal(err)
	}
	r.instances["entry-1"] = started
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool(t, ca)}}}
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
		t.Fatal("plain text was answered")
	}
}

func pool(t *testing.T, file string) *x509.CertPool {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	out := x509.NewCertPool()
	if !out.AppendCertsFromPEM(data) {
		t.Fatalf("%s holds no certificate", file)
	}
	return out
}

// TestNewCAForPeers replaces the peers' authority on running instances: first both are
// trusted, then each gets a certificate of the new one, then the old one goes.
func TestNewCAForPeers(t *testing.T) {
	r := newRig(t)
	files := map[string]settings.Files{}
	r.host = r.newHost(func(s *settings.Settings) { files[s.Instance] = s.Listeners.Peers.TLS })
	instances := r.startThree()
	old := read(t, files["entry-1"].CA)
	fresh, err := keys.NewAuthority("new authority")
	if err != nil {
		t.Fatal(err)
	}
	both := append(append([]byte(nil), old...), fresh.CertPEM()...)
	for _, f := range files {
		write(t, f.CA, both)
	}
	time.Sleep(2 * keys.PollInterval)
	for name, f := range files {
		leaf, err := fresh.Issue(name, "127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		write(t, f.Key, leaf.Key)
		write(t, f.Cert, leaf.Cert)
	}
	time.Sleep(2 * keys.PollInterval)
	for _, f := range files {
		write(t, f.CA, fresh.CertPEM())
	}
	time.Sleep(2 * keys.PollInterval)
	// An instance that starts now has the new keys only, and is known to all.
	r.host = r.newHost(func(s *settings.Settings) {
		leaf, err := fresh.Issue(s.Instance, "127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		written, err := fresh.WriteFiles(t.TempDir(), s.Instance, leaf)
		if err != nil {
			t.Fatal(err)
		}
		s.Listeners.Peers.TLS = settings.Files{Cert: written.Cert, Key: written.Key, CA: written.CA}
	})
	newcomer, err := r.host.StartUnconfigured(bench.DaemonOptions{
		Name: "entry-4", FailureDomain: domains[0], Document: &r.Document,
		StoreAddress: r.storeAddress, ListAddress: r.ListAddress(), OrderToken: "lab-orders",
	})
	if err != nil {
		t.Fatal(err)
	}
	r.instances["entry-4"] = newcomer
	r.List.Put(instancelist.Instance{Name: "entry-4", CallerAddress: newcomer.CallerAddress(), PeerAddress: newcomer.PeerAddress(), FailureDomain: domains[0]})
	for _, p := range append(instances, newcomer) {
		r.eventually("all four know each other", func() bool { return len(r.entries(p)) == 4 })
	}
}

func read(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
