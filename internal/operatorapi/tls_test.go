package operatorapi

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"limpethub/internal/keys"
)

// issue makes a key source for a holder of a certificate of the authority, who trusts
// the trusted authority.
func issue(t *testing.T, authority, trusted *keys.Authority, name string) *keys.Source {
	t.Helper()
	leaf, err := authority.Issue(name, "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	files, err := trusted.WriteFiles(t.TempDir(), name, leaf)
	if err != nil {
		t.Fatal(err)
	}
	source, err := keys.Open(files, nil)
	if err != nil {
		t.Fatal(err)
	}
	return source
}

func newAuthority(t *testing.T, name string) *keys.Authority {
	t.Helper()
	authority, err := keys.NewAuthority(name)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// TestCertificates shows who is an operator by certificate: holders of one that the
// listener's authority signed, and nobody else, whatever name is in it.
func TestCertificates(t *testing.T) {
	operators, others := newAuthority(t, "operators"), newAuthority(t, "others")
	f := &fakeController{}
	auth, err := NewKeys("", nil)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(NewHandler(f, auth))
	server.TLS = issue(t, operators, operators, "instance").Server(keys.ClientsMayShow)
	server.StartTLS()
	t.Cleanup(server.Close)
	status := func(source *keys.Source) error {
		client := &http.Client{Transport: &http.Transport{DialTLSContext: source.DialContext}}
		_, err := NewClient(server.URL, goodToken, client).Status(context.Background())
		return err
	}
	if err := status(issue(t, operators, operators, "jana")); err != nil || f.calls != 1 {
		t.Errorf("an operator: %v, %d calls", err, f.calls)
	}
	var unreachable *UnreachableError
	if err := status(issue(t, others, operators, "jana")); !errors.As(err, &unreachable) {
		t.Errorf("a certificate of another authority: %v", err)
	}
	bare, err := keys.Open(keys.Files{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := status(bare); !errors.As(err, &unreachable) {
		t.Errorf("an instance whose authority isn't trusted: %v", err)
	}
	trusting := issue(t, operators, operators, "trusting")
	withoutCertificate := &http.Client{Transport: &http.Transport{TLSClientConfig: trusting.Client()}}
	withoutCertificate.Transport.(*http.Transport).TLSClientConfig.GetClientCertificate = nil
	_, err = NewClient(server.URL, goodToken, withoutCertificate).Status(context.Background())
	if !errors.Is(err, ErrUnauthorized) {
		t.Errorf("no certificate, and a token where tokens are off: %v", err)
	}
	if f.calls != 1 {
		t.Errorf("%d calls reached the controller, want 1", f.calls)
	}
}
