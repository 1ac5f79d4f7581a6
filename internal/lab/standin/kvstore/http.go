package kvstore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// maxBodyBytes bounds a question: a value of a mebibyte in base64, and room.
const maxBodyBytes = 2 << 20

// maxValueBytes is the largest value that the service holds.
const maxValueBytes = 1 << 20

// Status codes of the gateway's errors.
const (
	codeInvalid           = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeUnavailable       = 14
)

// Handler serves the gateway's paths.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/v3/kv/range", s.endpoint(s.reads, s.handleRange)).Methods(http.MethodPost)
	r.Handle("/v3/kv/txn", s.endpoint(s.writes, s.handleTxn)).Methods(http.MethodPost)
	r.Handle("/v3/lease/grant", s.endpoint(s.writes, s.handleGrant)).Methods(http.MethodPost)
	r.Handle("/v3/lease/keepalive", s.endpoint(s.writes, s.handleKeepAlive)).Methods(http.MethodPost)
	r.Handle("/v3/lease/revoke", s.endpoint(s.writes, s.handleRevoke)).Methods(http.MethodPost)
	r.Handle("/v3/watch", s.endpoint(s.reads, s.handleWatch)).Methods(http.MethodPost)
	return r
}

// endpoint applies faults and rates before a call.
func (s *Service) endpoint(limit *rate.Limiter, handle http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.count(func(st *Stats) { st.Received++ })
		faults := s.currentFaults()
		if faults.Hang {
			<-r.Context().Done()
			return
		}
		if faults.Slow > 0 && !pause(r, faults.Slow) {
			return
		}
		if faults.Down {
			s.count(func(st *Stats) { st.Refused++ })
			fail(w, http.StatusServiceUnavailable, codeUnavailable, "etcdserver: no leader")
			return
		}
		if !limit.Allow() {
			s.count(func(st *Stats) { st.Throttled++ })
			fail(w, http.StatusTooManyRequests, codeResourceExhausted, "etcdserver: too many requests")
			return
		}
		handle(w, r)
	})
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Service) count(add func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.stats)
}

func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func fail(w http.ResponseWriter, httpStatus, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus)
	_ = json.NewEncoder(w).Encode(struct {
		Error   string `json:"error"`
		Code    int    `json:"code"`
		Message string `json:"message"`
	}{message, code, message})
}

// decode reads a question, or answers with an error.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(into); err != nil {
		fail(w, http.StatusBadRequest, codeInvalid, err.Error())
		return false
	}
	return true
}

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

type headerMessage struct {
	Revision string `json:"revision"`
}

// headerLocked is the header of each answer.
func (s *Service) headerLocked() headerMessage {
	return headerMessage{Revision: strconv.FormatInt(s.revision, 10)}
}

type kvMessage struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

func (r record) message() kvMessage {
	return kvMessage{
		Key: []byte(r.key), Value: r.value, CreateRevision: r.created,
		ModRevision: r.revision, Version: r.version, Lease: r.lease,
	}
}

type rangeQuestion struct {
	Key []byte `json:"key"`
}

type rangeAnswer struct {
	Header headerMessage `json:"header"`
	KVs    []kvMessage   `json:"kvs,omitempty"`
	Count  string        `json:"count,omitempty"`
}

func (s *Service) handleRange(w http.ResponseWriter, r *http.Request) {
	var question rangeQuestion
	if !decode(w, r, &question) {
		return
	}
	s.mu.Lock()
	s.stats.Reads++
	answer := rangeAnswer{Header: s.headerLocked()}
	if found, ok := s.data[string(question.Key)]; ok {
		answer.KVs = []kvMessage{found.message()}
		answer.Count = "1"
	}
	s.mu.Unlock()
	reply(w, answer)
}

type comparison struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type txnQuestion struct {
	Compare []comparison `json:"compare"`
	Success []struct {
		Put *struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease,string"`
		} `json:"request_put"`
		Delete *struct {
			Key []byte `json:"key"`
		} `json:"request_delete_range"`
	} `json:"success"`
}

type txnAnswer struct {
	Header    headerMessage `json:"header"`
	Succeeded bool          `json:"succeeded,omitempty"`
}

func (s *Service) handleTxn(w http.ResponseWriter, r *http.Request) {
	var question txnQuestion
	if !decode(w, r, &question) {
		return
	}
	if s.currentFaults().LoseWrites {
		panic(http.ErrAbortHandler)
	}
	answer, message := s.transact(question)
	if message != "" {
		fail(w, http.StatusNotFound, codeNotFound, message)
		return
	}
	s.loseAnswer(answer.Succeeded)
	reply(w, answer)
}

// loseAnswer drops the connection of a write that took effect, if that fault is set.
func (s *Service) loseAnswer(wrote bool) {
	if !wrote || !s.currentFaults().LoseAnswers {
		return
	}
	s.count(func(st *Stats) { st.LostAnswers++ })
	panic(http.ErrAbortHandler)
}

// transact applies a transaction. The message says why it failed.
func (s *Service) transact(question txnQuestion) (txnAnswer, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Writes++
	for _, c := range question.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" || s.data[string(c.Key)].revision != c.ModRevision {
			return txnAnswer{Header: s.headerLocked()}, ""
		}
	}
	for _, op := range question.Success {
		if op.Put != nil && op.Put.Lease != 0 && s.leases[op.Put.Lease] == nil {
			return txnAnswer{}, "etcdserver: requested lease not found"
		}
		if op.Put != nil && len(op.Put.Value) > maxValueBytes {
			return txnAnswer{}, "etcdserver: request is too large"
		}
	}
	s.revision++
	for _, op := range question.Success {
		if op.Put != nil {
			s.putLocked(string(op.Put.Key), op.Put.Value, op.Put.Lease)
		}
		if op.Delete != nil {
			s.deleteLocked(string(op.Delete.Key))
		}
	}
	return txnAnswer{Header: s.headerLocked(), Succeeded: true}, ""
}
