package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// ErrRefused means that the engine rejected the order and did not apply it.
const ErrRefused = errors.ConstError("engine: order refused")

// Controller reads the status of engines and sends them orders. After an error other than
// ErrRefused from Order, the order may have been applied; Status shows whether it was.
type Controller interface {
	Status(ctx context.Context, address string) (Status, error)
	Order(ctx context.Context, address string, order Order) error
}

// Client implements Controller over HTTP.
type Client struct {
	http *http.Client
}

// NewClient returns a client with the given timeout per call.
func NewClient(timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}
	return &Client{http: &http.Client{Transport: transport, Timeout: timeout}}
}

// maxStatusBytes limits how much of an engine's response to a control call is read.
const maxStatusBytes = 64 << 10

// Status implements Controller.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	var status Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathStatus, nil)
	if err != nil {
		return status, errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return status, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return status, errors.Errorf("engine status probe returned HTTP status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status)
	return status, errors.Trace(err)
}

// Order implements Controller.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathOrder, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxStatusBytes))
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrRefused
	}
	return errors.Errorf("engine order returned HTTP status %d", resp.StatusCode)
}
