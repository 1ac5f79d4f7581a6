// Package etcdstore is a client of the etcd v3 JSON gateway. It registers as
// "store.etcd".
package etcdstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"limpethub/internal/kernel"
	"limpethub/internal/keys"
	"limpethub/internal/store"
)

// Limits of connections to the service.
const (
	// DefaultCallTimeout bounds a call whose context has no deadline. Watches have none.
	DefaultCallTimeout = 3 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdleConns       = 4
	minTTLSeconds      = 1
)

// errNoEndpoints is returned by Provision without endpoints.
var errNoEndpoints = errors.New("etcdstore: no endpoints")

// Options configures a Store.
type Options struct {
	// Endpoints lists the service's addresses, host:port. After a failed call the
	// next call goes to the next endpoint.
	Endpoints []string `json:"endpoints"`
	// TLS is the client's side of TLS; nil means plain text.
	TLS keys.Current `json:"-"`
	// CallTimeout bounds calls whose context has no deadline; 0 means the default.
	CallTimeout time.Duration `json:"call_timeout"`
}

// Store is the client. It is safe for concurrent use.
type Store struct {
	// Options may be set until Provision is called.
	Options

	client   *http.Client
	endpoint atomic.Uint32
}

var (
	_ store.Store        = (*Store)(nil)
	_ kernel.Provisioner = (*Store)(nil)
	_ kernel.Stopper     = (*Store)(nil)
)

func init() {
	kernel.Register(kernel.Module{Name: "store.etcd", New: func() any { return &Store{} }})
}

// New returns a client that is ready for use.
func New(o Options) (*Store, error) {
	s := &Store{Options: o}
	return s, s.Provision(context.Background())
}

// Provision takes the Options as they now are.
func (s *Store) Provision(context.Context) error {
	if len(s.Endpoints) == 0 {
		return errNoEndpoints
	}
	if s.CallTimeout <= 0 {
		s.CallTimeout = DefaultCallTimeout
	}
	s.client = &http.Client{Transport: &http.Transport{
		DialTLSContext:      s.TLS.DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
	}}
	return nil
}

// Stop closes idle connections.
func (s *Store) Stop(context.Context) error {
	s.client.CloseIdleConnections()
	return nil
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	entry, _, err := s.read(ctx, key)
	return entry, err
}

// read returns the entry and the revision of the whole service.
func (s *Store) read(ctx context.Context, key string) (store.Entry, int64, error) {
	var answer rangeResponse
	if err := s.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &answer); err != nil {
		return store.Entry{}, 0, err
	}
	if len(answer.KVs) == 0 {
		return store.Entry{}, answer.Header.Revision, store.ErrNotFound
	}
	return entryOf(answer.KVs[0]), answer.Header.Revision, nil
}

func entryOf(kv keyValue) store.Entry {
	return store.Entry{
		Key:      string(kv.Key),
		Value:    kv.Value,
		Revision: store.Revision(kv.ModRevision),
		Lease:    store.LeaseID(kv.Lease),
	}
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	put := &putRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	return s.swap(ctx, key, expected, operation{Put: put})
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expected store.Revision) error {
	_, err := s.swap(ctx, key, expected, operation{Delete: &rangeRequest{Key: []byte(key)}})
	return err
}

func (s *Store) swap(ctx context.Context, key string, expected store.Revision, then operation) (store.Revision, error) {
	txn := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: int64(expected)}},
		Success: []operation{then},
	}
	var answer txnResponse
	if err := s.call(ctx, "/v3/kv/txn", txn, &answer); err != nil {
		return 0, err
	}
	if !answer.Succeeded {
		return 0, store.ErrConflict
	}
	return store.Revision(answer.Header.Revision), nil
}

// Grant implements store.Store. The service counts in whole seconds; a shorter or
// broken ttl is rounded up.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := max(minTTLSeconds, int64((ttl+time.Second-1)/time.Second))
	var answer leaseResponse
	if err := s.call(ctx, "/v3/lease/grant", grantRequest{TTL: seconds}, &answer); err != nil {
		return 0, err
	}
	return store.LeaseID(answer.ID), nil
}

// Renew implements store.Store.
func (s *Store) Renew(ctx context.Context, lease store.LeaseID) error {
	var answer keepAliveResponse
	if err := s.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: int64(lease)}, &answer); err != nil {
		return err
	}
	if answer.Error != nil {
		return errorOf(*answer.Error)
	}
	if answer.Result.TTL <= 0 {
		return store.ErrLeaseLost
	}
	return nil
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, lease store.LeaseID) error {
	return s.call(ctx, "/v3/lease/revoke", leaseRequest{ID: int64(lease)}, nil)
}

// errorOf turns the gateway's error into one of the store's.
func errorOf(st status) error {
	switch st.Code {
	case codeNotFound:
		return fmt.Errorf("etcdstore: %s: %w", st.Message, store.ErrLeaseLost)
	case codeResourceExhausted:
		return fmt.Errorf("etcdstore: %s: %w", st.Message, store.ErrThrottled)
	}
	return fmt.Errorf("etcdstore: service error %d: %s", st.Code, st.Message)
}
