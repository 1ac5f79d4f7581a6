// Package httplist reads the platform's list of instances over HTTP, by
// GET /v1/instances. It registers as "instances.http".
package httplist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"limpethub/internal/kernel"
	"limpethub/internal/keys"
	"limpethub/internal/platform"
)

// Limits of calls to the list.
const (
	DefaultTimeout = 3 * time.Second
	// maxAnswerBytes leaves some 1,000 bytes for each of 13,000 instances.
	maxAnswerBytes = 16 << 20
)

var errNoAddress = errors.New("httplist: no address")

// Options configures a Lister.
type Options struct {
	// Address is the list's host:port.
	Address string `json:"address"`
	// TLS is the client's side of TLS; nil means plain text.
	TLS keys.Current `json:"-"`
	// Timeout bounds a read; 0 means the default.
	Timeout time.Duration `json:"timeout"`
}

// Lister reads the list. It is safe for concurrent use.
type Lister struct {
	// Options may be set until Provision is called.
	Options

	client *http.Client
}

var (
	_ platform.Lister    = (*Lister)(nil)
	_ kernel.Provisioner = (*Lister)(nil)
	_ kernel.Stopper     = (*Lister)(nil)
)

func init() {
	kernel.Register(kernel.Module{Name: "instances.http", New: func() any { return &Lister{} }})
}

// New returns a Lister that is ready for use.
func New(o Options) (*Lister, error) {
	l := &Lister{Options: o}
	return l, l.Provision(context.Background())
}

// Provision takes the Options as they now are.
func (l *Lister) Provision(context.Context) error {
	if l.Address == "" {
		return errNoAddress
	}
	if l.Timeout <= 0 {
		l.Timeout = DefaultTimeout
	}
	l.client = &http.Client{
		Timeout:   l.Timeout,
		Transport: &http.Transport{DialTLSContext: l.TLS.DialContext, IdleConnTimeout: time.Minute},
	}
	return nil
}

// Stop closes idle connections.
func (l *Lister) Stop(context.Context) error {
	l.client.CloseIdleConnections()
	return nil
}

// List implements platform.Lister.
func (l *Lister) List(ctx context.Context) ([]platform.Instance, error) {
	scheme := "http://"
	if l.TLS != nil {
		scheme = "https://"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+l.Address+"/v1/instances", nil)
	if err != nil {
		return nil, fmt.Errorf("httplist: %w", err)
	}
	answer, err := l.client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("httplist: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("httplist: status %d", answer.StatusCode)
	}
	var body struct {
		Instances []platform.Instance `json:"instances"`
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(&body); err != nil {
		return nil, fmt.Errorf("httplist: read the answer: %w", err)
	}
	return body.Instances, nil
}
