// Package lab3 has the stand-ins of the third review: the platform's store, model servers, the processes under test
// and a record of what was seen.
package lab3

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxPageItems is the longest page of a range, as PROTOCOL.md says.
	maxPageItems = 500
	// storeAnswer is how long the store takes for an answer.
	storeAnswer = 4 * time.Millisecond
)

// Item is a key of the store.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_rev,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is a stand-in of the platform's store, as PROTOCOL.md describes it.
type Store struct {
	Address string

	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	revision int64
	leases   map[int64]storeLease
	lastID   int64
	changed  chan struct{}
}

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: listener.Addr().String(), items: map[string]Item{}, revision: 100,
		leases: map[int64]storeLease{}, changed: make(chan struct{}),
	}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}).Serve(listener) }()
	go s.expireLeases()
	return s, nil
}

// Put writes a key without a condition, as servers and operators do. Its return is the acknowledgement.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.record(Item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	s.record(Item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) record(i Item) {
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/kv-key":
		s.serveKey(w, query.Get("key"))
	case r.Method == http.MethodGet && r.URL.Path == "/kv-range":
		s.serveRange(w, query.Get("path_prefix"), query.Get("after"))
	case r.Method == http.MethodGet && r.URL.Path == "/kv-watch":
		s.serveWatch(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-txn":
		s.serveTransaction(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-lease":
		s.serveGrant(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(r.URL.Path, "/kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		s.serveEnd(w, strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, struct {
		Item
		At int64 `json:"store_revision"`
	}{i, revision})
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []Item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > maxPageItems
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), maxPageItems)], "more_pages": more, "store_revision": revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []Item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Drop []string `json:"drop"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := []Item{}
	holds := true
	for _, e := range t.Expected {
		i := s.items[e.Key]
		i.Key = e.Key
		now = append(now, i)
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Drop {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTL < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.mu.Lock()
	s.lastID++
	id := s.lastID
	s.leases[id] = storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTL})
}

func (s *Store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.ends = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) serveEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	s.endLease(id)
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}
