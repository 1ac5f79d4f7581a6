package operatorapi

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"limpethub/internal/keys"
)

// issueKeys returns the keys of one party of a connection: a certificate for name, issued by
// authority. The party accepts peers whose certificate was issued by trusted.
func issueKeys(t *testing.T, authority, trusted *keys.Authority, name string) *keys.Source {
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

// TestOperatorCertificates checks that a client is an operator if and only if its certificate
// is signed by the listener's authority; the name in the certificate must not count.
func TestOperatorCertificates(t *testing.T) {
	operators, others := newAuthority(t, "operators"), newAuthority(t, "others")
	f := &fakeController{}
	auth, err := NewAuthenticator("", nil)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(NewHandler(f, auth))
	server.TLS = issueKeys(t, operators, operators, "instance").Server(keys.OptionalClientCertificate)
	server.StartTLS()
	t.Cleanup(server.Close)
	status := func(source *keys.Source) error {
		client := &http.Client{Transport: &http.Transport{DialTLSContext: source.DialContext}}
		_, err := NewClient(server.URL, testToken, client).Status(context.Background())
		return err
	}
	if err := status(issueKeys(t, operators, operators, "jana")); err != nil || f.handledCalls != 1 {
		t.Errorf("certificate of the operators' authority: got error %v and %d controller calls, want nil and 1", err, f.handledCalls)
	}
	var unreachable *UnreachableError
	if err := status(issueKeys(t, others, operators, "jana")); !errors.As(err, &unreachable) {
		t.Errorf("certificate of another authority: got %v, want *UnreachableError", err)
	}
	untrusting, err := keys.Open(keys.Files{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := status(untrusting); !errors.As(err, &unreachable) {
		t.Errorf("client that doesn't trust the instance's authority: got %v, want *UnreachableError", err)
	}
	trusting := issueKeys(t, operators, operators, "trusting")
	// This client trusts the instance's authority but presents no certificate.
	withoutCertificate := &http.Client{Transport: &http.Transport{TLSClientConfig: trusting.Client()}}
	withoutCertificate.Transport.(*http.Transport).TLSClientConfig.GetClientCertificate = nil
	_, err = NewClient(server.URL, testToken, withoutCertificate).Status(context.Background())
	if !errors.Is(err, ErrUnauthorized) {
		t.Errorf("token without a certificate, and no token file: got %v, want ErrUnauthorized", err)
	}
	if f.handledCalls != 1 {
		t.Errorf("%d calls reached the controller, want 1", f.handledCalls)
	}
}
