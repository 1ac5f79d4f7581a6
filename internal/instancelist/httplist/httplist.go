// Package httplist implements package instancelist's Lister over HTTP, with
// GET /v1/instances. It registers with the kernel as "instances.http".
package httplist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"limpethub/internal/instancelist"
	"limpethub/internal/kernel"
	"limpethub/internal/keys"
)

// Limits of reads of the list.
const (
	DefaultTimeout = 3 * time.Second
	// maxResponseBytes bounds a response: 13,000 instances of some 1,000 bytes each, and
	// a margin.
	maxResponseBytes = 16 << 20
	// maxHeaderBytes bounds the head of a response.
	maxHeaderBytes = 64 << 10
)

var errNoAddress = errors.New("httplist: the address of the instance list is empty, want host:port")

// Options configures a Lister. Configure fills in Address and TLS from the daemon's
// settings; Timeout is an option of New only.
type Options struct {
	// Address is the host:port that serves the list.
	Address string `json:"address"`
	// TLS is the client's TLS configuration; nil means plain text.
	TLS keys.TLSConfigFunc `json:"-"`
	// Timeout bounds one read of the list; 0 means the default.
	Timeout time.Duration `json:"timeout"`
}

// Lister reads the list over HTTP. It is safe for concurrent use.
type Lister struct {
	// Options may be set until Provision is called.
	Options

	client *http.Client
}

var (
	_ instancelist.Lister = (*Lister)(nil)
	_ kernel.Provisioner  = (*Lister)(nil)
	_ kernel.Stopper      = (*Lister)(nil)
)

func init() {
	kernel.Register(kernel.Module{Name: "instances.http", New: func() any { return &Lister{} }})
}

// New returns a Lister that is ready for use.
func New(o Options) (*Lister, error) {
	l := &Lister{Options: o}
	return l, l.Provision(context.Background())
}

// Provision checks the Options and creates the HTTP client.
func (l *Lister) Provision(context.Context) error {
	if l.Address == "" {
		return errNoAddress
	}
	if l.Timeout <= 0 {
		l.Timeout = DefaultTimeout
	}
	l.client = &http.Client{
		Timeout:   l.Timeout,
		Transport: &http.Transport{DialTLSContext: l.TLS.DialContext, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeaderBytes},
	}
	return nil
}

// Stop closes idle connections.
func (l *Lister) Stop(context.Context) error {
	l.client.CloseIdleConnections()
	return nil
}

func (l *Lister) List(ctx context.Context) ([]instancelist.Instance, error) {
	scheme := "http://"
	if l.TLS != nil {
		scheme = "https://"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+l.Address+"/v1/instances", nil)
	if err != nil {
		return nil, fmt.Errorf("httplist: %w", err)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("httplist: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("httplist: GET /v1/instances: status %d", response.StatusCode)
	}
	var body struct {
		Instances []instancelist.Instance `json:"instances"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&body); err != nil {
		return nil, fmt.Errorf("httplist: decode the response of GET /v1/instances (16 MiB at most): %w", err)
	}
	return body.Instances, nil
}
