package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"pearlanding/internal/standin"
	"pearlanding/internal/standin/platformfake"
	"pearlanding/internal/standin/servicefake"
)

func addStandin(app *kingpin.Application, run action) {
	cmd := app.Command("standin", "Run a stand-in for an outside system.")
	addStandinPlatform(cmd, run)
	addStandinEngines(cmd, run)
	addStandinService(cmd, run)
}

func addStandinPlatform(cmd *kingpin.CmdClause, run action) {
	p := cmd.Command("platform", "Run the object API, VM list and weight store; faults are set under /fake.")
	listen := p.Flag("listen", "IP:port.").Default("127.0.0.1:7000").String()
	writes := p.Flag("writes", "Limit of writes per second; 0: none.").Default("300").Int()
	weights := p.Flag("weights-gb", "Limit of the weight store in gigabytes per second; 0: none.").Default("4").Float64()
	p.Action(run(func(ctx context.Context) int {
		listener, err := net.Listen("tcp", *listen)
		if err != nil {
			return fail(err)
		}
		fmt.Println("platform on", listener.Addr())
		if err := standin.Serve(ctx, listener, platformfake.New(*writes, *weights).Handler()); err != nil {
			return fail(err)
		}
		return exitOK
	}))
}

func addStandinEngines(cmd *kingpin.CmdClause, run action) {
	e := cmd.Command("engines", "Run the engine VMs of one fabric domain; faults are set under /fake of each VM.")
	var set standin.EngineSet
	e.Flag("prefix", "VM names are PREFIX1, PREFIX2, ...").Default("vm-").StringVar(&set.Prefix)
	e.Flag("count", "Number of VMs.").Default("4").IntVar(&set.Count)
	e.Flag("port", "First port.").Default("9100").IntVar(&set.FirstPort)
	e.Flag("place", "Place.").Default("rio-grande").StringVar(&set.Place)
	e.Flag("domain", "Fabric domain of the VMs.").Default("rg-a").StringVar(&set.Domain)
	e.Flag("slots", "Requests that one engine runs at a time.").Default("8").IntVar(&set.Slots)
	e.Flag("token-time", "Time between tokens.").Default("20ms").DurationVar(&set.TokenTime)
	e.Flag("platform", "URL of the stand-in platform.").Default("http://127.0.0.1:7000").StringVar(&set.Platform)
	e.Action(run(func(ctx context.Context) int {
		vms, err := standin.StartEngines(ctx, set)
		if err != nil {
			return fail(err)
		}
		for _, vm := range vms {
			for standin.RegisterVM(ctx, set.Platform, vm.Row) != nil && ctx.Err() == nil {
				time.Sleep(200 * time.Millisecond)
			}
			fmt.Println("engine", vm.Row.Name, "on", vm.Row.Address)
		}
		<-ctx.Done()
		return exitOK
	}))
}

func addStandinService(cmd *kingpin.CmdClause, run action) {
	s := cmd.Command("service", "Run a plain service that counts its runs by idempotency key; faults are set under /fake.")
	listen := s.Flag("listen", "IP:port.").Default("127.0.0.1:9300").String()
	name := s.Flag("name", "Name.").Default("app-portuario").String()
	s.Action(run(func(ctx context.Context) int {
		listener, err := net.Listen("tcp", *listen)
		if err != nil {
			return fail(err)
		}
		fmt.Println("service", *name, "on", listener.Addr())
		if err := standin.Serve(ctx, listener, servicefake.New(*name).Handler()); err != nil {
			return fail(err)
		}
		return exitOK
	}))
}
