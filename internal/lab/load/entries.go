package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"limpethub/internal/request"
)

// Entry is one instance that may be used.
type Entry struct {
	Instance    string `json:"instance"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
}

var errNoEntry = errors.New("load: no instance answers")

// failureBackoff is how long a caller leaves out an instance that it couldn't reach.
const failureBackoff = time.Second

// entries is what one caller knows of the instances.
type entries struct {
	client *http.Client
	// seeds are the addresses that the caller was configured with.
	seeds  []string
	domain string

	mu      sync.Mutex
	list    []Entry
	expires time.Time
	failed  map[string]time.Time
}

// choose returns the best instance now, asking when the last answer is too old.
func (e *entries) choose(ctx context.Context, model string) (Entry, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.After(e.expires) {
		if err := e.refreshLocked(ctx, model); err != nil && len(e.list) == 0 {
			return Entry{}, err
		}
	}
	for _, entry := range e.list {
		if now.Sub(e.failed[entry.Address]) > failureBackoff {
			return entry, nil
		}
	}
	if len(e.list) == 0 {
		return Entry{}, errNoEntry
	}
	return e.list[0], nil
}

// unreachable notes that an instance couldn't be reached.
func (e *entries) unreachable(entry Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed[entry.Address] = time.Now()
	e.expires = time.Time{}
}

// refreshLocked asks the instances that are known, then the configured ones.
func (e *entries) refreshLocked(ctx context.Context, model string) error {
	addresses := make([]string, 0, len(e.list)+len(e.seeds))
	for _, entry := range e.list {
		addresses = append(addresses, entry.Address)
	}
	addresses = append(addresses, e.seeds...)
	for _, address := range addresses {
		if err := e.askLocked(ctx, address, model); err == nil {
			return nil
		}
	}
	return errNoEntry
}

func (e *entries) askLocked(ctx context.Context, address, model string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries?model="+url.QueryEscape(model), nil)
	if err != nil {
		return err
	}
	r.Header.Set(request.HeaderFailureDomain, e.domain)
	answer, err := e.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("load: entries: status %d", answer.StatusCode)
	}
	var body struct {
		Entries   []Entry `json:"entries"`
		TTLMillis int64   `json:"ttl_ms"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&body); err != nil {
		return err
	}
	if len(body.Entries) == 0 {
		return errNoEntry
	}
	e.list = body.Entries
	e.expires = time.Now().Add(time.Duration(body.TTLMillis) * time.Millisecond)
	return nil
}
