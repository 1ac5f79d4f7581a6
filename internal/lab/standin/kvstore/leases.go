package kvstore

import (
	"encoding/json"
	"net/http"
	"time"
)

type leaseMessage struct {
	Header headerMessage `json:"header"`
	ID     int64         `json:"ID,string,omitempty"`
	TTL    int64         `json:"TTL,string,omitempty"`
}

type leaseQuestion struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

func (s *Service) handleGrant(w http.ResponseWriter, r *http.Request) {
	var question leaseQuestion
	if !decode(w, r, &question) {
		return
	}
	s.mu.Lock()
	s.stats.Writes++
	granted := s.grantLocked(time.Duration(question.TTL) * time.Second)
	answer := leaseMessage{Header: s.headerLocked(), ID: granted.id, TTL: question.TTL}
	s.mu.Unlock()
	s.loseAnswer(true)
	reply(w, answer)
}

func (s *Service) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	var question leaseQuestion
	if !decode(w, r, &question) {
		return
	}
	s.mu.Lock()
	s.stats.KeepAlives++
	answer := leaseMessage{Header: s.headerLocked(), ID: question.ID}
	if l, ok := s.leases[question.ID]; ok {
		l.expires = time.Now().Add(l.ttl)
		answer.TTL = int64(l.ttl / time.Second)
	}
	s.mu.Unlock()
	s.loseAnswer(answer.TTL > 0)
	reply(w, struct {
		Result leaseMessage `json:"result"`
	}{answer})
}

func (s *Service) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var question leaseQuestion
	if !decode(w, r, &question) {
		return
	}
	s.mu.Lock()
	s.stats.Writes++
	_, ok := s.leases[question.ID]
	s.endLeaseLocked(question.ID)
	answer := leaseMessage{Header: s.headerLocked()}
	s.mu.Unlock()
	if !ok {
		fail(w, http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found")
		return
	}
	s.loseAnswer(true)
	reply(w, answer)
}

type watchQuestion struct {
	Create struct {
		Key           []byte `json:"key"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type eventMessage struct {
	Type string    `json:"type,omitempty"`
	KV   kvMessage `json:"kv"`
}

type watchAnswer struct {
	Header          headerMessage  `json:"header"`
	Created         bool           `json:"created,omitempty"`
	Canceled        bool           `json:"canceled,omitempty"`
	CompactRevision int64          `json:"compact_revision,string,omitempty"`
	Events          []eventMessage `json:"events,omitempty"`
}

// handleWatch sends the key's events from a revision on until the client leaves.
func (s *Service) handleWatch(w http.ResponseWriter, r *http.Request) {
	var question watchQuestion
	if !decode(w, r, &question) {
		return
	}
	s.count(func(st *Stats) { st.Watches++ })
	key := string(question.Create.Key)
	next := question.Create.StartRevision
	s.mu.Lock()
	cut := s.cut
	first := watchAnswer{Header: s.headerLocked(), Created: true}
	if next == 0 {
		next = s.revision + 1
	}
	if next <= s.compacted {
		first.Canceled = true
		first.CompactRevision = s.compacted
	}
	s.mu.Unlock()
	send(w, first)
	for !first.Canceled {
		answer, changed := s.eventsSince(key, next)
		if len(answer.Events) > 0 {
			next = answer.Events[len(answer.Events)-1].KV.ModRevision + 1
			send(w, answer)
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Service) eventsSince(key string, from int64) (watchAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := watchAnswer{Header: s.headerLocked()}
	for _, r := range s.history {
		if r.key != key || r.revision < from {
			continue
		}
		event := eventMessage{KV: r.message()}
		if r.deletedHere {
			event.Type = "DELETE"
		}
		answer.Events = append(answer.Events, event)
	}
	return answer, s.changed
}

func send(w http.ResponseWriter, answer watchAnswer) {
	_ = json.NewEncoder(w).Encode(struct {
		Result watchAnswer `json:"result"`
	}{answer})
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
