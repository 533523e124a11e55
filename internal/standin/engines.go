// Package standin runs the stand-ins for outside systems as HTTP servers: platform, engines
// and service.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/standin/enginefake"
)

// Serve serves h on the listener until ctx ends, then closes all connections and returns nil.
func Serve(ctx context.Context, listener net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		srv.Close()
	}()
	if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}

// EngineSet describes stand-in VMs of one fabric domain on consecutive ports.
type EngineSet struct {
	Prefix    string // VM names are PREFIX1, PREFIX2, ...
	Count     int
	FirstPort int // 0: any free ports
	Place     string
	Domain    string
	Slots     int
	TokenTime time.Duration
	// Platform is the stand-in platform's URL, for weights and the VM list. Weights, if set,
	// takes precedence for weights.
	Platform string
	Weights  func(ctx context.Context, megabytes int) error
}

// accelerators is the number of accelerators of each stand-in VM.
const accelerators = 2

// VM is one stand-in VM with its engine.
type VM struct {
	Row    objectapi.VM
	Engine *enginefake.Engine
	ctx    context.Context
	stop   context.CancelFunc
}

// Kill stops the VM: its connections are closed and new ones refused.
func (vm *VM) Kill() { vm.stop() }

// Boot restarts a killed VM at its address with a new boot id.
func (vm *VM) Boot() error {
	vm.Engine.Restart()
	listener, err := net.Listen("tcp", vm.Row.Address)
	if err != nil {
		return errors.Trace(err)
	}
	vm.serve(listener)
	return nil
}

func (vm *VM) serve(listener net.Listener) {
	ctx, stop := context.WithCancel(vm.ctx)
	vm.stop = stop
	go func() { _ = Serve(ctx, listener, vm.Engine.Handler()) }()
}

// StartEngines starts the VMs; they stop with ctx.
func StartEngines(ctx context.Context, set EngineSet) ([]*VM, error) {
	fetch := set.Weights
	if fetch == nil && set.Platform != "" {
		fetch = weightsFrom(set.Platform)
	}
	var out []*VM
	for i := range set.Count {
		port := 0
		if set.FirstPort > 0 {
			port = set.FirstPort + i
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return nil, errors.Trace(err)
		}
		row := objectapi.VM{Name: fmt.Sprintf("%s%d", set.Prefix, i+1), Place: set.Place, Domain: set.Domain,
			Address: listener.Addr().String(), Accelerators: accelerators, State: objectapi.VMLive}
		e := enginefake.New(enginefake.Options{VM: row.Name, Address: row.Address, Slots: set.Slots,
			TokenTime: set.TokenTime, FetchWeights: fetch})
		vm := &VM{Row: row, Engine: e, ctx: ctx}
		vm.serve(listener)
		out = append(out, vm)
	}
	return out, nil
}

// weightsFrom returns a function that fetches weights from a stand-in platform.
func weightsFrom(base string) func(context.Context, int) error {
	return func(ctx context.Context, megabytes int) error {
		return call(ctx, http.MethodPost, fmt.Sprintf("%s/v1/weights?megabytes=%d", base, megabytes), nil)
	}
}

// RegisterVM adds a VM to the stand-in platform's list.
func RegisterVM(ctx context.Context, base string, vm objectapi.VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return errors.Trace(err)
	}
	return call(ctx, http.MethodPut, base+"/fake/vms", body)
}

// call makes one call to a stand-in. Any status but 200 is an error.
func call(ctx context.Context, method, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %d", url, resp.StatusCode)
	}
	return nil
}
