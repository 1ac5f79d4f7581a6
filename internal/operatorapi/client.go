package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"

	"limpethub/internal/httpanswer"
	"limpethub/internal/site"
)

// maxAnswerBytes limits how much of an answer the client reads, in bytes. A longer answer is
// cut off there without an error of its own, and is then reported as invalid JSON or as an
// answer without a readable error body.
const maxAnswerBytes = 64 << 20

// UnreachableError means that the client received no complete answer: it could not connect,
// the TLS handshake failed, the call timed out or the answer broke off.
type UnreachableError struct {
	URL string
	// Sent is true once the client had a connection for the request. From then on the
	// call may have taken effect.
	Sent bool
	Err  error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no complete answer from %s: %v", e.URL, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// Client calls the operators' HTTP interface of one instance.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient creates a client for a base URL such as "https://10.0.0.1:8444". The token may
// be empty if client presents a certificate.
func NewClient(base, token string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), token: token, http: client}
}

// Status returns the status of the site as the instance knows it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.call(ctx, http.MethodGet, PathStatus, nil, &out)
	return out, err
}

// Configuration returns the configuration in force on the instance.
func (c *Client) Configuration(ctx context.Context) (site.Accepted, error) {
	var out site.Accepted
	err := c.call(ctx, http.MethodGet, PathConfiguration, nil, &out)
	return out, err
}

// Apply puts a new configuration in force. The error may be a *ConflictError, an
// *InvalidError, an *UnavailableError, an *UnclearError or an *UnreachableError.
func (c *Client) Apply(ctx context.Context, change ApplyRequest) (site.Accepted, error) {
	var out site.Accepted
	err := c.call(ctx, http.MethodPut, PathConfiguration, change, &out)
	return out, err
}

// Explain returns where a model or adapter is, why, and what the instance would do with a
// request for it now.
func (c *Client) Explain(ctx context.Context, model string) (Explanation, error) {
	var out Explanation
	err := c.call(ctx, http.MethodGet, PathExplain+url.PathEscape(model), nil, &out)
	return out, err
}

// Locate returns the instances that callers of a model should use.
func (c *Client) Locate(ctx context.Context, model string) (Location, error) {
	var out Location
	err := c.call(ctx, http.MethodGet, PathLocate+url.PathEscape(model), nil, &out)
	return out, err
}

// Drain starts the drain of the named instance, which may be another than the one called.
func (c *Client) Drain(ctx context.Context, instance string) error {
	return c.call(ctx, http.MethodPost, PathInstances+url.PathEscape(instance)+"/drain", nil, nil)
}

// Quarantine lists the parts of prompts and the requests that servers don't get because servers ended
// with them.
func (c *Client) Quarantine(ctx context.Context) (Quarantine, error) {
	var out Quarantine
	err := c.call(ctx, http.MethodGet, PathQuarantine, nil, &out)
	return out, err
}

// Release ends the quarantine of a part of prompts or a request on all instances.
func (c *Client) Release(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodDelete, PathQuarantine+"/"+url.PathEscape(name), nil, nil)
}

// call sends one request with the JSON form of in as its body and decodes the answer into
// out. Both may be nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	request, err := c.request(ctx, method, path, in)
	if err != nil {
		return err
	}
	sent := false
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true },
	}))
	response, err := c.http.Do(request)
	if err != nil {
		return &UnreachableError{URL: c.base, Sent: sent, Err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &UnreachableError{URL: c.base, Sent: true, Err: err}
	}
	if err := checkAnswered(response.StatusCode); err != nil {
		return &UnreachableError{URL: c.base, Sent: true, Err: err}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errorFromAnswer(response, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("operatorapi: invalid JSON in the answer of %s: %w", c.base, err)
	}
	return nil
}

// checkAnswered returns an error unless a status tells whether the call has succeeded. An instance redirects no call.
func checkAnswered(status int) error {
	if status >= http.StatusMultipleChoices && status < http.StatusBadRequest {
		return &httpanswer.InvalidStatusError{Status: status}
	}
	return httpanswer.CheckStatus(status)
}

func (c *Client) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, fmt.Errorf("operatorapi: marshal request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, fmt.Errorf("operatorapi: create request: %w", err)
	}
	if in != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	setTimeoutHeader(request, c.http.Timeout)
	if c.token != "" {
		request.Header.Set("Authorization", bearerPrefix+c.token)
	}
	return request, nil
}

// errorFromAnswer returns the error that the body of a failed call describes.
func errorFromAnswer(response *http.Response, data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Code == "" {
		return fmt.Errorf("operatorapi: the call failed with status %s and no readable error body", response.Status)
	}
	return body.toError()
}
