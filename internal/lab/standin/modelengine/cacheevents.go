package modelengine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// CacheEventKind says what happened to a block of the prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent tells of one block. Events come late, and some never come: a client sees
// a gap in the sequence.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	// Block is the block's key, which covers all that comes before it in its prompt.
	Block uint64 `json:"block"`
	// At is when it happened.
	At time.Time `json:"at"`
}

// cacheEventsKept is how many events are kept for clients.
const cacheEventsKept = 4096

// cacheLog keeps recent events.
type cacheLog struct {
	events   []CacheEvent
	sequence uint64
}

// add notes an event, unless it is one of those that get lost.
func (l *cacheLog) add(kind CacheEventKind, block uint64, loseEvery int) {
	l.sequence++
	if loseEvery > 0 && l.sequence%uint64(loseEvery) == 0 {
		return
	}
	l.events = append(l.events, CacheEvent{Sequence: l.sequence, Kind: kind, Block: block, At: time.Now()})
	if len(l.events) > cacheEventsKept {
		l.events = append(l.events[:0], l.events[cacheEventsKept/2:]...)
	}
}

// since lists the events after a sequence number that are at least as old as the lag.
func (l *cacheLog) since(after uint64, lag time.Duration) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range l.events {
		if e.Sequence > after && time.Since(e.At) >= lag {
			out = append(out, e)
		}
	}
	return out
}

// handleCacheEvents answers GET /v1/cache-events?after=N.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		refuse(w, http.StatusBadRequest, "malformed")
		return
	}
	e.mu.Lock()
	events := e.prefixes.log.since(after, e.options.CacheEventLag)
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(events)
}

// CacheBlocks is the KV cache as it is exported and imported: the keys of its blocks,
// the most recent first.
type CacheBlocks struct {
	Blocks []uint64 `json:"blocks"`
}

// handleExport answers GET /v1/kv.
func (e *Engine) handleExport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	blocks := e.prefixes.keys()
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(CacheBlocks{Blocks: blocks})
}

// handleImport answers POST /v1/kv: it takes another engine's blocks into the cache.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var in CacheBlocks
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&in); err != nil {
		refuse(w, http.StatusBadRequest, "malformed")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(in.Blocks) - 1; i >= 0; i-- {
		e.prefixes.use(in.Blocks[i])
	}
	w.WriteHeader(http.StatusNoContent)
}
