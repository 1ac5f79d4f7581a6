// Package plainservice stands in for a plain service beside the model engines. It
// counts how often each request ran.
package plainservice

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/request"
)

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 16 << 20

// Faults are the ways in which a service can misbehave.
type Faults struct {
	// Slow delays the run of each request.
	Slow time.Duration
	// FailBefore answers 500 without running the request and without saying so.
	FailBefore bool
	// CutAfterRun closes the connection after the run, without an answer.
	CutAfterRun bool
	// Refuse answers 503 with the statement that the request didn't run.
	Refuse bool
	// WrongAnswer answers with the id of another request.
	WrongAnswer bool
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	// Name is the server's name in the configuration.
	Name string

	mu      sync.Mutex
	faults  Faults
	leaving bool
	runs    map[request.ID]int
	active  int
	seq     uint64
}

// New returns a service.
func New(name string) *Service {
	return &Service{Name: name, runs: map[request.ID]int{}}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLeaving makes the service refuse new work, or take it again.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// RunCounts returns how often each request ran.
func (s *Service) RunCounts() map[request.ID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Answer is the body of an answer.
type Answer struct {
	ID     request.ID `json:"id"`
	Server string     `json:"server"`
	Method string     `json:"method"`
	Path   string     `json:"path"`
	// Bytes is how long the request's body was.
	Bytes int `json:"bytes"`
}

// Handler serves /v1/report and, under any other path, the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", s.handleReport)
	mux.HandleFunc("/", s.handleCall)
	return mux
}

func (s *Service) handleReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.seq++
	report := engine.Report{Sequence: s.seq, Taken: time.Now(), Running: s.active, Leaving: s.leaving}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	id := request.ID(r.Header.Get("X-Request-Id"))
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	faults, reason := s.begin(id)
	echoed := id
	if faults.WrongAnswer {
		echoed += "-other"
	}
	w.Header().Set("X-Request-Id", string(echoed))
	if reason != "" {
		w.Header().Set("X-Not-Run", string(reason))
		http.Error(w, string(reason), http.StatusServiceUnavailable)
		return
	}
	if faults.FailBefore {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	time.Sleep(faults.Slow)
	s.end()
	if faults.CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{ID: echoed, Server: s.Name, Method: r.Method, Path: r.URL.Path, Bytes: len(body)})
}

// begin counts a run, or says why there is none.
func (s *Service) begin(id request.ID) (Faults, engine.RefusalReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return s.faults, engine.RefusalLeaving
	case s.faults.Refuse:
		return s.faults, engine.RefusalOverloaded
	case s.faults.FailBefore:
		return s.faults, ""
	}
	s.runs[id]++
	s.active++
	return s.faults, ""
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}
