package etcdstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"limpethub/internal/store"
)

// maxAnswerBytes bounds an answer: a value of the largest size in base64, and room.
const maxAnswerBytes = 2*store.MaxValueBytes + 64<<10

// call makes one call and decodes its answer.
func (s *Store) call(ctx context.Context, path string, question, answer any) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.CallTimeout)
		defer cancel()
	}
	body, err := s.open(ctx, path, question)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(answer); err != nil {
		s.advance()
		return fmt.Errorf("etcdstore: %s: read the answer: %w", path, err)
	}
	return nil
}

// open sends a question and returns the answer's body. It is never sent twice:
// net/http doesn't repeat a POST once a byte of it was written.
func (s *Store) open(ctx context.Context, path string, question any) (io.ReadCloser, error) {
	text, err := json.Marshal(question)
	if err != nil {
		return nil, fmt.Errorf("etcdstore: %s: encode: %w", path, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url(path), bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("etcdstore: %s: %w", path, err)
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(r)
	if err != nil {
		s.advance()
		return nil, fmt.Errorf("etcdstore: %s: %w", path, err)
	}
	if answer.StatusCode != http.StatusOK {
		defer func() { _ = answer.Body.Close() }()
		return nil, s.refused(path, answer)
	}
	return answer.Body, nil
}

// refused judges an answer with an error status.
func (s *Store) refused(path string, answer *http.Response) error {
	var st status
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(&st); err != nil {
		s.advance()
		return fmt.Errorf("etcdstore: %s: status %d", path, answer.StatusCode)
	}
	if answer.StatusCode >= http.StatusInternalServerError {
		s.advance()
	}
	return fmt.Errorf("etcdstore: %s: %w", path, errorOf(st))
}

func (s *Store) url(path string) string {
	scheme := "http://"
	if s.TLS != nil {
		scheme = "https://"
	}
	return scheme + s.Endpoints[int(s.endpoint.Load())%len(s.Endpoints)] + path
}

// advance makes later calls go to the next endpoint.
func (s *Store) advance() { s.endpoint.Add(1) }
