package etcdstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"limpethub/internal/httpanswer"
	"limpethub/internal/store"
)

// maxResponseBytes bounds a response: twice the largest value, which base64 encodes in 4/3
// of its size, and 64 KiB for the fields around it.
const maxResponseBytes = 2*store.MaxValueBytes + 64<<10

// maxStoreHeaderBytes bounds the head of a response.
const maxStoreHeaderBytes = 64 << 10

// call sends a request and decodes the response; a nil response is not decoded.
func (s *Store) call(ctx context.Context, path string, request, response any) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.CallTimeout)
		defer cancel()
	}
	body, err := s.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	if response == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(response); err != nil {
		s.nextEndpoint()
		return fmt.Errorf("etcdstore: %s: read the answer: %w", path, err)
	}
	return nil
}

// post sends a request and returns the body of the response. The request reaches etcd at
// most once: net/http doesn't repeat a POST after a byte of it was written.
func (s *Store) post(ctx context.Context, path string, request any) (io.ReadCloser, error) {
	encoded, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("etcdstore: %s: encode: %w", path, err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url(path), bytes.NewReader(encoded))
	if err != nil {
		return nil, fmt.Errorf("etcdstore: %s: %w", path, err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(httpRequest)
	if err != nil {
		s.nextEndpoint()
		return nil, fmt.Errorf("etcdstore: %s: %w", path, err)
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		if err := httpanswer.CheckStatus(response.StatusCode); err != nil {
			s.nextEndpoint()
			return nil, fmt.Errorf("etcdstore: %s: %w", path, err)
		}
		return nil, s.responseError(path, response)
	}
	return response.Body, nil
}

// responseError returns the error of a response whose status isn't 200. After a server
// error (5xx) or a body without an etcd error, later calls use the next endpoint.
func (s *Store) responseError(path string, response *http.Response) error {
	var st status
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&st); err != nil {
		s.nextEndpoint()
		return fmt.Errorf("etcdstore: %s: status %d", path, response.StatusCode)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		s.nextEndpoint()
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

// nextEndpoint makes later calls use the next endpoint.
func (s *Store) nextEndpoint() { s.endpoint.Add(1) }
