package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Client implements Store over HTTP. It never retries: after a write with an unknown outcome
// the caller must read the object back before it decides whether to retry.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client for the platform at base, for example
// "http://10.0.0.1:7000". timeout limits each call; a watch may wait longer.
func NewClient(base string, timeout time.Duration) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
	}
	return &Client{base: base, http: &http.Client{Transport: transport}, timeout: timeout}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var obj Object
	err := c.read(ctx, c.timeout, "/v1/objects/"+key, &obj)
	return obj, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var out []Object
	err := c.read(ctx, c.timeout, "/v1/list?prefix="+url.QueryEscape(prefix), &out)
	return out, err
}

// maxWatchWait is how long the platform may hold a watch open without an event.
const maxWatchWait = 20 * time.Second

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]Object, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}}
	var out []Object
	err := c.read(ctx, maxWatchWait+c.timeout, "/v1/watch?"+query.Encode(), &out)
	return out, err
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context, domain string) ([]VM, error) {
	var out []VM
	err := c.read(ctx, c.timeout, "/v1/vms?domain="+url.QueryEscape(domain), &out)
	return out, err
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return c.write(ctx, http.MethodPut, key, "If-None-Match", "*", value)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	return c.write(ctx, http.MethodPut, key, "If-Match", strconv.FormatUint(version, 10), value)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	_, err := c.write(ctx, http.MethodDelete, key, "If-Match", strconv.FormatUint(version, 10), nil)
	return err
}

func (c *Client) read(ctx context.Context, timeout time.Duration, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.WithType(errors.Annotate(err, "platform read"), ErrUnavailable)
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode, ErrUnavailable); err != nil {
		return err
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return errors.WithType(errors.Annotate(err, "incomplete answer to a platform read"), ErrUnavailable)
	}
	return nil
}

// writeResult is the platform's answer to an applied write.
type writeResult struct {
	Version uint64 `json:"version"`
}

func (c *Client) write(ctx context.Context, method, key, condition, expect string, value []byte) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+"/v1/objects/"+key, bytes.NewReader(value))
	if err != nil {
		return 0, errors.Trace(err)
	}
	// Without GetBody the transport can't resend the body on another connection.
	req.GetBody = nil
	req.Header.Set(condition, expect)
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errors.WithType(errors.Annotate(err, "platform write"), classifySendError(err))
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode, ErrUnknownOutcome); err != nil {
		return 0, err
	}
	var result writeResult
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxValueBytes)).Decode(&result); err != nil {
		return 0, errors.WithType(errors.Annotate(err, "incomplete answer to a platform write"), ErrUnknownOutcome)
	}
	return result.Version, nil
}

// classifySendError returns ErrUnavailable if the write was not sent, ErrUnknownOutcome if
// its answer is missing.
func classifySendError(err error) errors.ConstError {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUnknownOutcome
}

// statusError returns the error for an HTTP status; other stands for an unexpected status.
func statusError(status int, other errors.ConstError) error {
	switch status {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed, http.StatusConflict:
		return ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	return errors.Annotatef(other, "platform status %d", status)
}
