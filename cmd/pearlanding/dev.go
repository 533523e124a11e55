package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"pearlanding/internal/embedded"
)

func addDev(app *kingpin.Application, run action) {
	cmd := app.Command("dev", "Run a stand-in platform, engines and service and one daemon in one process on loopback.")
	once := cmd.Flag("once", "Send one streamed model request and one at-most-once call, print both answers and exit.").Bool()
	level := cmd.Flag("log", "Log level.").Default("warn").Enum("debug", "info", "warn", "error")
	cmd.Action(run(func(ctx context.Context) int { return dev(ctx, *once, *level) }))
}

// devStartTimeout is the longest that the embedded system may take until it serves.
const devStartTimeout = 30 * time.Second

func dev(ctx context.Context, once bool, level string) int {
	log, err := newLogger(level)
	if err != nil {
		return fail(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	system, err := embedded.Start(ctx, embedded.Options{Log: log, Daemons: 1})
	if err != nil {
		return fail(err)
	}
	waitCtx, stopWaiting := context.WithTimeout(ctx, devStartTimeout)
	defer stopWaiting()
	if err := system.WaitServing(waitCtx); err != nil {
		return fail(errors.Annotate(err, "the embedded system did not start serving"))
	}
	callers := system.Daemons[0].Settings.Listen.Callers
	if once {
		return devOnce(ctx, callers)
	}
	fmt.Printf("callers    http://%s\noperators  http://%s\nplatform   %s\n\n", callers, system.Daemons[0].Settings.Listen.Operators, system.PlatformURL)
	fmt.Printf("try: curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '%s'\n",
		callers, embedded.Token, embedded.ChatBody)
	<-ctx.Done()
	return exitOK
}

// devOnce sends a model request and an at-most-once call through the daemon and checks that
// both answers are complete.
func devOnce(ctx context.Context, callers string) int {
	chat, err := post(ctx, "http://"+callers+"/v1/chat/completions", embedded.ChatBody, nil)
	fmt.Println(chat)
	if err == nil && !strings.Contains(chat, "data: [DONE]") {
		err = errors.New("the streamed answer is incomplete")
	}
	if err != nil {
		return fail(err)
	}
	call, err := post(ctx, "http://"+callers+"/services/"+embedded.Service+"/crew-calls", `{"tug":"Atlas"}`,
		map[string]string{"Idempotency-Key": "crew-call-1", "Pearlanding-Repeat": "never"})
	fmt.Println(call)
	if err == nil && !strings.Contains(call, `"run":1`) {
		err = errors.New("the service's answer is incomplete")
	}
	if err != nil {
		return fail(err)
	}
	fmt.Fprintln(os.Stderr, "both answers are whole")
	return exitOK
}

func post(ctx context.Context, url, body string, headers map[string]string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+embedded.Token)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", errors.Trace(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode)
	}
	return string(data), errors.Trace(err)
}
