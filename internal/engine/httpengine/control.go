package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"limpethub/internal/engine"
)

// staleAnswer is the body of a 409 answer to an order.
type staleAnswer struct {
	Fence uint64 `json:"fence"`
}

// Report implements engine.ControlPlane.
func (e *Engine) Report(ctx context.Context, server engine.Server) (engine.Report, error) {
	var report engine.Report
	err := e.read(ctx, server, "/v1/report", &report)
	return report, err
}

// Inventory implements engine.ControlPlane.
func (e *Engine) Inventory(ctx context.Context, server engine.Server) (engine.Inventory, error) {
	var inventory engine.Inventory
	err := e.read(ctx, server, "/v1/inventory", &inventory)
	return inventory, err
}

func (e *Engine) read(ctx context.Context, server engine.Server, path string, into any) error {
	r, err := newRequest(ctx, http.MethodGet, e.scheme+"://"+server.Address+path, nil)
	if err != nil {
		return err
	}
	answer, err := exchange(e.control, r)
	if err != nil {
		return fmt.Errorf("httpengine: read %s of %s: %w", path, server.Name, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("httpengine: read %s of %s: status %d", path, server.Name, answer.StatusCode)
	}
	body, err := readAll(answer.Body, e.MaxBodyBytes)
	if err != nil {
		return fmt.Errorf("httpengine: read %s of %s: %w", path, server.Name, err)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("httpengine: read %s of %s: %w", path, server.Name, err)
	}
	return nil
}

// Submit implements engine.ControlPlane.
func (e *Engine) Submit(ctx context.Context, server engine.Server, order engine.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("httpengine: encode order %s: %w", order.ID, err)
	}
	r, err := newRequest(ctx, http.MethodPost, e.scheme+"://"+server.Address+"/v1/orders", body)
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	if e.OrderToken != "" {
		r.Header.Set("Authorization", "Bearer "+e.OrderToken)
	}
	answer, err := exchange(e.control, r)
	if err != nil {
		return fmt.Errorf("httpengine: order %s to %s: %w", order.ID, server.Name, err)
	}
	defer discard(answer)
	return e.submitted(answer, server, order)
}

// submitted judges the answer to an order. Only a 409 that names the fencing
// number seen proves a refusal.
func (e *Engine) submitted(answer *http.Response, server engine.Server, order engine.Order) error {
	switch answer.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		var stale staleAnswer
		body, err := readAll(answer.Body, maxDiscardBytes)
		if err == nil {
			err = json.NewDecoder(bytes.NewReader(body)).Decode(&stale)
		}
		if err == nil && stale.Fence > order.Fence {
			return &engine.StaleFenceError{Seen: stale.Fence}
		}
	}
	return fmt.Errorf("httpengine: order %s to %s: status %d", order.ID, server.Name, answer.StatusCode)
}
