// Package etcdstore implements package store's interface on etcd, through the JSON
// gateway of the etcd v3 API. It registers with the kernel as "store.etcd".
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

// Limits of calls and connections to etcd.
const (
	// DefaultCallTimeout bounds calls whose context has no deadline, except for watches,
	// which wait as long as their context allows.
	DefaultCallTimeout = 3 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdleConns       = 4
	minTTLSeconds      = 1
)

// errNoEndpoints is returned by Provision if the settings list no endpoint.
var errNoEndpoints = errors.New("etcdstore: plugins.store.endpoints is empty, list at least one address")

// Options configures a Store. Configure fills in Endpoints and TLS from the daemon's
// settings; CallTimeout is an option of New only.
type Options struct {
	// Endpoints lists etcd's addresses, host:port. After a call fails, the next call uses
	// the next endpoint.
	Endpoints []string `json:"endpoints"`
	// TLS is the client's TLS configuration; nil means plain text.
	TLS keys.TLSConfigFunc `json:"-"`
	// CallTimeout bounds calls whose context has no deadline; 0 means the default.
	CallTimeout time.Duration `json:"call_timeout"`
}

// Store is a client of etcd. It is safe for concurrent use.
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

// Provision checks the Options and creates the HTTP client.
func (s *Store) Provision(context.Context) error {
	if len(s.Endpoints) == 0 {
		return errNoEndpoints
	}
	if s.CallTimeout <= 0 {
		s.CallTimeout = DefaultCallTimeout
	}
	s.client = &http.Client{Transport: &http.Transport{
		DialTLSContext:         s.TLS.DialContext,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxStoreHeaderBytes,
	}}
	return nil
}

// Stop closes idle connections.
func (s *Store) Stop(context.Context) error {
	s.client.CloseIdleConnections()
	return nil
}

func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	entry, _, err := s.readWithStoreRevision(ctx, key)
	return entry, err
}

// readWithStoreRevision returns the key's entry and the revision of the whole store,
// which is valid also with ErrNotFound.
func (s *Store) readWithStoreRevision(ctx context.Context, key string) (store.Entry, int64, error) {
	var response rangeResponse
	if err := s.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &response); err != nil {
		return store.Entry{}, 0, err
	}
	if len(response.KVs) == 0 {
		return store.Entry{}, response.Header.Revision, store.ErrNotFound
	}
	return entryOf(response.KVs[0]), response.Header.Revision, nil
}

func entryOf(kv keyValue) store.Entry {
	return store.Entry{
		Key:      string(kv.Key),
		Value:    kv.Value,
		Revision: store.Revision(kv.ModRevision),
		Lease:    store.LeaseID(kv.Lease),
	}
}

func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	put := &putRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	return s.writeIfRevision(ctx, key, expected, operation{Put: put})
}

func (s *Store) Delete(ctx context.Context, key string, expected store.Revision) error {
	_, err := s.writeIfRevision(ctx, key, expected, operation{Delete: &rangeRequest{Key: []byte(key)}})
	return err
}

// writeIfRevision applies onMatch in a transaction if the key has the expected
// revision, and returns ErrConflict otherwise.
func (s *Store) writeIfRevision(ctx context.Context, key string, expected store.Revision, onMatch operation) (store.Revision, error) {
	txn := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: int64(expected)}},
		Success: []operation{onMatch},
	}
	var response txnResponse
	if err := s.call(ctx, "/v3/kv/txn", txn, &response); err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, store.ErrConflict
	}
	return store.Revision(response.Header.Revision), nil
}

// Grant implements store.Store. The ttl is rounded up to whole seconds, the unit of
// etcd, and is at least 1 s.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := max(minTTLSeconds, int64((ttl+time.Second-1)/time.Second))
	var response leaseResponse
	if err := s.call(ctx, "/v3/lease/grant", grantRequest{TTL: seconds}, &response); err != nil {
		return 0, err
	}
	return store.LeaseID(response.ID), nil
}

func (s *Store) Renew(ctx context.Context, lease store.LeaseID) error {
	var response keepAliveResponse
	if err := s.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: int64(lease)}, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return errorOf(*response.Error)
	}
	if response.Result.TTL <= 0 {
		return store.ErrLeaseLost
	}
	return nil
}

func (s *Store) Revoke(ctx context.Context, lease store.LeaseID) error {
	return s.call(ctx, "/v3/lease/revoke", leaseRequest{ID: int64(lease)}, nil)
}

// errorOf converts an error of the gateway. A "not found" status always refers to a
// lease, because reading an absent key is not an error for etcd.
func errorOf(st status) error {
	switch st.Code {
	case codeNotFound:
		return fmt.Errorf("etcdstore: %s: %w", st.Message, store.ErrLeaseLost)
	case codeResourceExhausted:
		return fmt.Errorf("etcdstore: %s: %w", st.Message, store.ErrThrottled)
	}
	return fmt.Errorf("etcdstore: service error %d: %s", st.Code, st.Message)
}
