package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"limpethub/internal/engine"
)

// staleFenceAnswer is the body of a 409 answer to an order. Fence is the highest fencing number
// that the server received.
type staleFenceAnswer struct {
	Fence uint64 `json:"fence"`
}

func (e *Engine) Report(ctx context.Context, server engine.Server) (engine.Report, error) {
	var report engine.Report
	err := e.readJSON(ctx, server, "/v1/report", &report)
	return report, err
}

func (e *Engine) Inventory(ctx context.Context, server engine.Server) (engine.Inventory, error) {
	var inventory engine.Inventory
	err := e.readJSON(ctx, server, "/v1/inventory", &inventory)
	return inventory, err
}

// readJSON reads a JSON document of at most MaxBodyBytes from a path of the server.
func (e *Engine) readJSON(ctx context.Context, server engine.Server, path string, into any) error {
	r, err := newRequest(ctx, http.MethodGet, e.scheme+"://"+server.Address+path, nil)
	if err != nil {
		return err
	}
	answer, err := exchange(e.controlPool, r)
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
	answer, err := exchange(e.controlPool, r)
	if err != nil {
		return fmt.Errorf("httpengine: order %s to %s: %w", order.ID, server.Name, err)
	}
	defer discard(answer)
	return e.checkOrderAnswer(answer, server, order)
}

// checkOrderAnswer checks the answer to an order. Only a 409 whose body has a higher fencing
// number than the order's proves that the server refused the order. Any other 409 gives the
// same error as another status.
func (e *Engine) checkOrderAnswer(answer *http.Response, server engine.Server, order engine.Order) error {
	switch answer.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		var stale staleFenceAnswer
		body, err := readAll(answer.Body, maxDiscardBytes)
		if err == nil {
			err = json.NewDecoder(bytes.NewReader(body)).Decode(&stale)
		}
		if err == nil && stale.Fence > order.Fence {
			return &engine.StaleFenceError{HighestFence: stale.Fence}
		}
	}
	return fmt.Errorf("httpengine: order %s to %s: status %d", order.ID, server.Name, answer.StatusCode)
}
