package embedded

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pearlanding/internal/catalog"
	"pearlanding/internal/control"
	"pearlanding/internal/problem"
	"pearlanding/internal/standin"
	"pearlanding/internal/standin/enginefake"
)

// testTimeout limits every wait of these tests. Reaching it is a failure; no result depends
// on how much of it is used.
const testTimeout = 30 * time.Second

// start starts a system, waits until it serves, and stops it at the end of the test.
func start(t *testing.T, o Options) *System {
	t.Helper()
	return startWith(t, o, func(*System) {})
}

// startWith is start with a function that is called before the configuration is applied.
func startWith(t *testing.T, o Options, prepare func(s *System)) *System {
	t.Helper()
	if o.Log == nil {
		o.Log = logOnFailure(t)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s, err := Start(ctx, o)
	must.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		for _, d := range s.Daemons {
			<-d.Done
		}
	})
	prepare(s)
	waitCtx, stop := context.WithTimeout(ctx, testTimeout)
	defer stop()
	must.NoError(t, s.WaitServing(waitCtx))
	return s
}

// await waits for a snapshot of a daemon for which ok returns true.
func await(t *testing.T, d *RunningDaemon, what string, ok func(*control.Snapshot) bool) *control.Snapshot {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	snap, err := d.Control().Await(ctx, ok)
	must.NoError(t, err, must.Sprint(what))
	return snap
}

// reply is an answer as its caller received it.
type reply struct {
	status  int
	header  http.Header
	body    string
	err     error // from sending the request or reading the body, for example a cut answer
	problem problem.Problem
}

// send sends one caller's request to a daemon; headers are pairs of name and value.
func send(d *RunningDaemon, path, body string, headers ...string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Settings.Listen.Callers+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	if resp.StatusCode >= http.StatusBadRequest {
		_ = json.Unmarshal(data, &r.problem)
	}
	return r
}

const chatPath = "/v1/chat/completions"

// chat returns the body of a chat request for n tokens.
func chat(prompt string, n int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, Model, stream, n, prompt)
}

// answerTo returns the correct answer to a chat with one message.
func answerTo(prompt string, n int) string { return enginefake.Answer("\n"+prompt, n) }

// leadVM returns the VM at rank 0 of the first serving group.
func leadVM(t *testing.T, s *System) *standin.VM {
	t.Helper()
	snap := s.Daemons[0].Control().Snapshot()
	must.SliceNotEmpty(t, snap.Targets[Pool])
	return vmAt(t, s, snap.Targets[Pool][0].Address)
}

func vmAt(t *testing.T, s *System, address string) *standin.VM {
	t.Helper()
	for _, vm := range s.VMs {
		if vm.Row.Address == address {
			return vm
		}
	}
	t.Fatalf("no VM at %s", address)
	return nil
}

// checkEngineRecords checks in the engines' own records that no partly assembled group
// completed a request.
func checkEngineRecords(t *testing.T, s *System) {
	t.Helper()
	for _, vm := range s.VMs {
		for _, r := range vm.Engine.Served() {
			must.False(t, r.Partial && r.Complete, must.Sprint("partly assembled group served", vm.Row.Name, r))
		}
	}
}

func ref(kind, name string) catalog.Ref { return catalog.Ref{Kind: catalog.Kind(kind), Name: name} }

// logOnFailure returns a logger whose lines are printed only if the test fails.
func logOnFailure(t *testing.T) *zap.Logger {
	var mu sync.Mutex
	var lines bytes.Buffer
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		if t.Failed() {
			t.Log(lines.String())
		}
	})
	write := writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return lines.Write(p)
	})
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(write), zap.InfoLevel))
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
