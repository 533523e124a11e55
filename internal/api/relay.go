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

// relay carries one model answer from an engine to its caller, over several
// engines if a stream has to be resumed elsewhere.
type relay struct {
	api        *API
	x          *exchange
	stream     bool
	resumeFrom int // tokens the caller had before
	delivered  int // tokens passed on in this request
	claimed    *claimed
	kept       []byte // of a claimed stream, for the record
	callerGone bool
	last       time.Time // when the last token was passed on
}

// errCallerGone: the caller stopped reading; nobody waits for the answer.
const errCallerGone = errors.ConstError("api: caller is gone")

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
		r.api.Telemetry.Crossed.Inc()
		return upstream.ErrCrossed
	}
	contentType := resp.Header.Get("Content-Type")
	if r.claimed != nil {
		r.claimed.record(resp.StatusCode, contentType, body, r.api.Settings.Ledger.MaxBodyBytes)
	}
	r.head(d)
	telemetry.Since(r.x.metrics.FirstToken, r.x.start)
	r.x.c.Data(resp.StatusCode, contentType, body)
	return nil
}

// idField is how an answer names its request.
func idField(id string) []byte { return []byte(`"id":"` + id + `"`) }

// head sets the headers that say who answered.
func (r *relay) head(d *destination) {
	h := &r.x.c.Response.Header
	h.Set(HeaderPlace, d.place)
	h.Set(HeaderGroup, d.name)
	h.Set(HeaderEpoch, strconv.FormatUint(d.epoch, 10))
}

// begin starts the caller's event stream, once.
func (r *relay) begin(d *destination) {
	if r.x.replied {
		return
	}
	r.x.replied = true
	r.head(d)
	c := r.x.c
	c.SetStatusCode(http.StatusOK)
	c.Response.Header.SetContentType("text/event-stream")
	c.Response.Header.Set("Cache-Control", "no-store")
	c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
}

// streamBuffer holds one event line; longer lines are passed on in parts.
const streamBuffer = 4096

var (
	dataPrefix = []byte("data: ")
	doneLine   = []byte("data: [DONE]")
)

// relayStream passes on events as they come. Only the engine's final marker
// makes the stream whole; an end without it is ErrUnknown.
func (r *relay) relayStream(resp *http.Response, d *destination) error {
	reader := bufio.NewReaderSize(resp.Body, streamBuffer)
	id := idField(r.x.id)
	continued := false // the line before was passed on without its end
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return errors.WithType(errors.Annotate(err, "stream cut"), upstream.ErrUnknown)
		}
		whole := line[len(line)-1] == '\n'
		switch {
		case continued:
			err = r.part(line, whole)
		case bytes.HasPrefix(line, doneLine):
			return r.finishStream(d)
		case !bytes.HasPrefix(line, dataPrefix):
			continue // blank lines and comments: events are ended by us
		case !bytes.Contains(line, id):
			r.api.Telemetry.Crossed.Inc()
			return upstream.ErrCrossed
		default:
			r.begin(d)
			r.measure()
			err = r.part(line, whole)
		}
		if err != nil {
			return err
		}
		continued = !whole
	}
}

// part passes on an event line or a piece of one; the end of the line ends the
// event, which is then on its way at once.
func (r *relay) part(line []byte, whole bool) error {
	if err := r.write(line); err != nil || !whole {
		return err
	}
	r.delivered++
	return r.flush("\n")
}

// measure notes when a token comes.
func (r *relay) measure() {
	now := time.Now()
	if r.last.IsZero() {
		r.x.metrics.FirstToken.Update(now.Sub(r.x.start).Seconds())
	} else {
		r.x.metrics.BetweenTokens.Update(now.Sub(r.last).Seconds())
	}
	r.last = now
	r.api.Telemetry.TokensOut.Inc()
}

// write hands bytes to the caller. A caller that is gone ends the attempt, but
// for a claimed request, whose outcome is still wanted.
func (r *relay) write(data []byte) error {
	if r.claimed != nil && len(r.kept) <= r.api.Settings.Ledger.MaxBodyBytes {
		r.kept = append(r.kept, data...)
	}
	if r.callerGone {
		return nil
	}
	if _, err := r.x.c.Write(data); err != nil {
		return r.gone()
	}
	return nil
}

func (r *relay) flush(tail string) error {
	if err := r.write([]byte(tail)); err != nil || r.callerGone {
		return err
	}
	if err := r.x.c.Flush(); err != nil {
		return r.gone()
	}
	return nil
}

func (r *relay) gone() error {
	r.callerGone = true
	if r.claimed != nil {
		return nil
	}
	return errCallerGone
}

// finishStream passes on the final marker.
func (r *relay) finishStream(d *destination) error {
	r.begin(d)
	if err := r.write(doneLine); err != nil {
		return err
	}
	if err := r.flush("\n\n"); err != nil {
		return err
	}
	if r.claimed != nil {
		r.claimed.record(http.StatusOK, "text/event-stream", r.kept, r.api.Settings.Ledger.MaxBodyBytes)
	}
	return nil
}

// close ends the exchange after the last attempt. A stream that had begun and
// can't be completed is told so by an error event and a cut connection, so that
// no client takes it for whole.
func (r *relay) close(p *problem.Problem) *problem.Problem {
	if p == nil || !r.x.replied {
		return p
	}
	p.RequestID = r.x.id
	if !r.callerGone {
		_, _ = r.x.c.Write([]byte("event: error\ndata: "))
		_, _ = r.x.c.Write(p.Body())
		_, _ = r.x.c.Write([]byte("\n\n"))
		_ = r.x.c.Flush()
	}
	_ = r.x.c.GetConn().Close()
	return p
}
