package api

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/juju/errors"

	"pearlanding/internal/problem"
	"pearlanding/internal/telemetry"
	"pearlanding/internal/upstream"
)

// relay forwards one model answer from an engine to its caller, from several engines in
// turn if a stream is resumed on another replica.
type relay struct {
	api        *API
	x          *exchange
	stream     bool
	resumeFrom int // tokens that the caller had before this request
	delivered  int // tokens forwarded in this request
	claimed    *claimedRequest
	recorded   []byte // bytes of a claimed stream, for the ledger
	callerGone bool
	lastToken  time.Time // when the last token arrived
}

// errCallerGone: the caller closed its connection.
const errCallerGone = errors.ConstError("api: caller disconnected")

// consume delivers the answer of one attempt.
func (r *relay) consume(resp *http.Response, d *destination) error {
	if r.stream && resp.StatusCode == http.StatusOK {
		return r.relayStream(resp, d)
	}
	body, err := upstream.ReadWhole(resp, maxAnswerBytes)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return errors.Annotatef(upstream.ErrUnknown, "engine answered %d", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusOK && !bytes.Contains(body, idField(r.x.id)) {
		r.api.Telemetry.MismatchedAnswers.Inc()
		return upstream.ErrForeignResponse
	}
	contentType := resp.Header.Get("Content-Type")
	if r.claimed != nil {
		r.claimed.record(resp.StatusCode, contentType, body, r.api.Settings.Ledger.MaxBodyBytes)
	}
	r.setOriginHeaders(d)
	telemetry.ObserveSince(r.x.metrics.FirstToken, r.x.start)
	r.x.c.Data(resp.StatusCode, contentType, body)
	return nil
}

// idField returns the JSON field by which an answer names its request.
func idField(id string) []byte { return []byte(`"id":"` + id + `"`) }

// setOriginHeaders sets the headers that name the place, group and epoch of the answer.
func (r *relay) setOriginHeaders(d *destination) {
	h := &r.x.c.Response.Header
	h.Set(HeaderPlace, d.place)
	h.Set(HeaderGroup, d.name)
	h.Set(HeaderEpoch, strconv.FormatUint(d.epoch, 10))
}

// startStream starts the caller's event stream unless it has started.
func (r *relay) startStream(d *destination) {
	if r.x.replied {
		return
	}
	r.x.replied = true
	r.setOriginHeaders(d)
	c := r.x.c
	c.SetStatusCode(http.StatusOK)
	c.Response.Header.SetContentType("text/event-stream")
	c.Response.Header.Set("Cache-Control", "no-store")
	c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
}

// Sizes of event lines, in bytes.
const (
	// streamBuffer is the read buffer; a longer line is collected in memory.
	streamBuffer = 4096
	// maxEventLine is the longest line that is forwarded.
	maxEventLine = 1 << 20
)

var (
	dataPrefix = []byte("data: ")
	doneLine   = []byte("data: [DONE]")
)

// relayStream forwards events as they arrive, each only once it is whole: another replica may continue after it. A
// stream is complete only with the engine's final marker; an end without it is ErrUnknown, and a line that is longer
// than maxEventLine is ErrTooLarge.
func (r *relay) relayStream(resp *http.Response, d *destination) error {
	reader := bufio.NewReaderSize(resp.Body, streamBuffer)
	id := idField(r.x.id)
	for {
		line, err := readLine(reader)
		switch {
		case errors.Is(err, upstream.ErrTooLarge):
			return err
		case err != nil:
			return errors.WithType(errors.Annotate(err, "stream ended without its final event"), upstream.ErrUnknown)
		case bytes.HasPrefix(line, doneLine):
			return r.completeStream(d)
		case !bytes.HasPrefix(line, dataPrefix):
			continue // blank lines and comments: writeEvent ends the events
		case !bytes.Contains(line, id):
			r.api.Telemetry.MismatchedAnswers.Inc()
			return upstream.ErrForeignResponse
		}
		r.startStream(d)
		r.observeToken()
		if err := r.writeEvent(line); err != nil {
			return err
		}
	}
}

// readLine returns the next whole line, which is valid until the next read. The error is upstream.ErrTooLarge for a
// line longer than maxEventLine, or that of the reader.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	var long []byte
	for errors.Is(err, bufio.ErrBufferFull) {
		if long = append(long, line...); len(long) > maxEventLine {
			return nil, upstream.ErrTooLarge
		}
		line, err = reader.ReadSlice('\n')
	}
	return append(long, line...), err
}

// writeEvent forwards an event of one line and flushes it.
func (r *relay) writeEvent(line []byte) error {
	if err := r.write(line); err != nil {
		return err
	}
	r.delivered++
	return r.flush("\n")
}

// observeToken records the latency metrics of a token that arrives now.
func (r *relay) observeToken() {
	now := time.Now()
	if r.lastToken.IsZero() {
		r.x.metrics.FirstToken.Update(now.Sub(r.x.start).Seconds())
	} else {
		r.x.metrics.BetweenTokens.Update(now.Sub(r.lastToken).Seconds())
	}
	r.lastToken = now
	r.api.Telemetry.StreamChunks.Inc()
}

// write sends bytes to the caller. If the caller has disconnected, the attempt ends,
// except for a claimed request, whose outcome is still recorded.
func (r *relay) write(data []byte) error {
	if r.claimed != nil && len(r.recorded) <= r.api.Settings.Ledger.MaxBodyBytes {
		r.recorded = append(r.recorded, data...)
	}
	if r.callerGone {
		return nil
	}
	if _, err := r.x.c.Write(data); err != nil {
		return r.markCallerGone()
	}
	return nil
}

func (r *relay) flush(tail string) error {
	if err := r.write([]byte(tail)); err != nil || r.callerGone {
		return err
	}
	if err := r.x.c.Flush(); err != nil {
		return r.markCallerGone()
	}
	return nil
}

func (r *relay) markCallerGone() error {
	r.callerGone = true
	if r.claimed != nil {
		return nil
	}
	return errCallerGone
}

// completeStream forwards the final marker.
func (r *relay) completeStream(d *destination) error {
	r.startStream(d)
	if err := r.write(doneLine); err != nil {
		return err
	}
	if err := r.flush("\n\n"); err != nil {
		return err
	}
	if r.claimed != nil {
		r.claimed.record(http.StatusOK, "text/event-stream", r.recorded, r.api.Settings.Ledger.MaxBodyBytes)
	}
	return nil
}

// close ends the exchange after the last attempt. A started stream that can't be
// completed ends with an error event and a closed connection, so that no client takes
// it for complete.
func (r *relay) close(p *problem.Problem) *problem.Problem {
	if p == nil || !r.x.replied {
		return p
	}
	p.RequestID = r.x.id
	if !r.callerGone {
		_, _ = r.x.c.Write([]byte("event: error\ndata: "))
		_, _ = r.x.c.Write(p.JSON())
		_, _ = r.x.c.Write([]byte("\n\n"))
		_ = r.x.c.Flush()
	}
	_ = r.x.c.GetConn().Close()
	return p
}
