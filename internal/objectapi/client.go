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

	"pearlanding/internal/rawjson"
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
	text, err := c.read(ctx, c.timeout, "/v1/objects/"+key)
	if err != nil {
		return Object{}, err
	}
	obj, err := decodeObject(text)
	return obj, incomplete(err)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	return readList(ctx, c, c.timeout, "/v1/list?prefix="+url.QueryEscape(prefix), decodeObject)
}

// maxWatchWait is how long the platform may hold a watch open without an event.
const maxWatchWait = 20 * time.Second

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]Object, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}}
	return readList(ctx, c, maxWatchWait+c.timeout, "/v1/watch?"+query.Encode(), decodeObject)
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context, domain string) ([]VM, error) {
	return readList(ctx, c, c.timeout, "/v1/vms?domain="+url.QueryEscape(domain), func(text []byte) (vm VM, _ error) {
		return vm, json.Unmarshal(text, &vm)
	})
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

// maxAnswerBytes limits the body of an answer.
const maxAnswerBytes = 64 << 20

// readList reads a list whose items decode one by one: one that does not decode is left out.
func readList[T any](ctx context.Context, c *Client, timeout time.Duration, path string, decode func(text []byte) (T, error)) ([]T, error) {
	text, err := c.read(ctx, timeout, path)
	if err != nil {
		return nil, err
	}
	if string(bytes.TrimSpace(text)) == "null" {
		return nil, nil
	}
	items, err := rawjson.List(text)
	if err != nil {
		return nil, incomplete(err)
	}
	out := make([]T, 0, len(items))
	for _, item := range items {
		if decoded, err := decode(item); err == nil {
			out = append(out, decoded)
		}
	}
	return out, nil
}

// decodeObject decodes an object. A value that can't be read is empty.
func decodeObject(text []byte) (o Object, _ error) {
	fields, err := rawjson.Object(text)
	if err != nil {
		return o, errors.Trace(err)
	}
	o.Value = ReadableValue(fields["value"])
	if err := json.Unmarshal(fields["key"], &o.Key); err != nil {
		return o, errors.Trace(err)
	}
	return o, errors.Trace(json.Unmarshal(fields["version"], &o.Version))
}

// incomplete returns ErrUnavailable for the error of an answer that does not decode, nil for nil.
func incomplete(err error) error {
	if err == nil {
		return nil
	}
	return errors.WithType(errors.Annotate(err, "incomplete answer to a platform read"), ErrUnavailable)
}

// read returns the body of the answer to a read.
func (c *Client) read(ctx context.Context, timeout time.Duration, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.WithType(errors.Annotate(err, "platform read"), ErrUnavailable)
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode, ErrUnavailable); err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(text) > maxAnswerBytes {
		err = errors.Errorf("more than %d bytes", maxAnswerBytes)
	}
	return text, incomplete(err)
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
