package rpc

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/creachadair/jrpc2/handler"
	"github.com/shoenig/test/must"
)

// serveUpgrade serves a method and an upgrade that echoes its params and what follows.
func serveUpgrade(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	methods := handler.Map{"echo": handler.New(func(_ context.Context, s []string) (string, error) { return s[0], nil })}
	go func() {
		served <- Serve(ctx, l, methods, Upgrade{Method: "raw", Handle: func(_ context.Context, conn net.Conn, r io.Reader, params json.RawMessage) {
			defer conn.Close()
			_, _ = conn.Write(append(params, '\n'))
			_, _ = io.Copy(conn, r)
		}})
	}()
	t.Cleanup(func() {
		stop()
		must.NoError(t, <-served)
	})
	return l.Addr().String()
}

func TestUpgradeTakesItsConnection(t *testing.T) {
	conn, err := net.Dial("tcp", serveUpgrade(t))
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	_, err = conn.Write([]byte(`{"jsonrpc":"2.0","id":1,"method":"raw","params":[7]}` + "\nfirst bytes"))
	must.NoError(t, err)
	reader := bufio.NewReader(conn)
	params, err := reader.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "[7]\n", params)
	rest := make([]byte, len("first bytes"))
	_, err = io.ReadFull(reader, rest)
	must.NoError(t, err)
	must.Eq(t, "first bytes", string(rest))
}

// Calls are answered beside upgrades, however long the first one is.
func TestCallsAreAnsweredBesideUpgrades(t *testing.T) {
	address := serveUpgrade(t)
	for _, text := range []string{"", "short", strings.Repeat("long", 10_000)} {
		p := NewPeers(time.Minute)
		var out string
		must.NoError(t, p.Call(t.Context(), address, "echo", []string{text}, &out))
		must.Eq(t, text, out)
		p.Close()
	}
}

// Whatever a connection begins with, it does not keep others from being served.
func TestOtherFirstBytesAreHarmless(t *testing.T) {
	address := serveUpgrade(t)
	for _, first := range []string{"", "\n", "{", `{"method":7}` + "\n", "\x00\xff\n", strings.Repeat("x", maxUpgradeBytes), strings.Repeat("x", maxUpgradeBytes-1) + "\n"} {
		conn, err := net.Dial("tcp", address)
		must.NoError(t, err)
		_, err = conn.Write([]byte(first))
		must.NoError(t, err)
		defer conn.Close()
	}
	p := NewPeers(time.Minute)
	defer p.Close()
	var out string
	must.NoError(t, p.Call(t.Context(), address, "echo", []string{"x"}, &out))
	must.Eq(t, "x", out)
}
