package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"pearlanding/internal/catalog"
	"pearlanding/internal/operator"
	"pearlanding/internal/problem"
	"pearlanding/internal/revision"
)

// operatorFlags are the flags of every operators' command.
type operatorFlags struct {
	address   *string
	tokenFile *string
	output    *string
}

func (f operatorFlags) client() *operator.Client {
	token := ""
	if *f.tokenFile != "" {
		data, err := os.ReadFile(*f.tokenFile)
		if err != nil {
			kingpin.Fatalf("token file: %v", err)
		}
		token = strings.TrimSpace(string(data))
	}
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	return operator.NewClient(*f.address, token, name)
}

// print prints a value as JSON, or calls text if the output format is text.
func (f operatorFlags) print(value any, text func()) {
	if *f.output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		_ = enc.Encode(value)
		return
	}
	text()
}

func addOperator(app *kingpin.Application, run action) {
	f := operatorFlags{
		address:   app.Flag("daemon", "Address of any daemon's operators' listener, IP:port.").Envar("PEARLANDING_DAEMON").Default("127.0.0.1:8081").String(),
		tokenFile: app.Flag("token-file", "File with the operator's token.").Envar("PEARLANDING_TOKEN_FILE").String(),
		output:    app.Flag("output", "Output format: text or json.").Short('o').Default("text").Enum("text", "json"),
	}
	for _, kind := range []catalog.Kind{catalog.KindTemplate, catalog.KindWorkspace, catalog.KindService} {
		addKind(app, run, f, kind)
	}
	change := app.Command("change", "Query changes.").Command("get", "Print the state of a change.")
	id := change.Arg("id", "Id of the change.").Required().String()
	change.Action(run(func(ctx context.Context) int {
		result, err := f.client().Change(ctx, *id)
		return f.printChange(result, err)
	}))
	forget := app.Command("daemon", "Manage the system's daemons.").
		Command("forget", "Remove a daemon whose process has stopped for good from the registry.")
	slot := forget.Arg("name", "Name of the daemon.").Required().String()
	forget.Action(run(func(ctx context.Context) int {
		result, err := f.client().ForgetDaemon(ctx, *slot)
		return f.printChange(result, err)
	}))
	addVM(app, run, f)
	addViews(app, run, f)
}

func addKind(app *kingpin.Application, run action, f operatorFlags, kind catalog.Kind) {
	cmd := app.Command(string(kind), "Manage "+string(kind)+"s.")
	apply := cmd.Command("apply", "Create or replace the entries of an INI file and wait until they are in force everywhere.")
	file := apply.Arg("file", "INI file.").Required().ExistingFile()
	apply.Action(run(func(ctx context.Context) int {
		data, err := os.ReadFile(*file)
		if err != nil {
			return fail(err)
		}
		result, err := f.client().Apply(ctx, *file, data)
		return f.printChange(result, err)
	}))
	get := cmd.Command("get", "Print one entry as INI with its revision, ready to edit.")
	getName := get.Arg("name", "Name.").Required().String()
	get.Action(run(func(ctx context.Context) int {
		text, err := f.client().Entry(ctx, catalog.Ref{Kind: kind, Name: *getName})
		if err != nil {
			return f.printError(err)
		}
		fmt.Print(text)
		return exitOK
	}))
	list := cmd.Command("list", "List the entries.")
	list.Action(run(func(ctx context.Context) int {
		entries, err := f.client().Entries(ctx, kind)
		if err != nil {
			return f.printError(err)
		}
		f.print(entries, func() {
			printTable("NAME\tREVISION", func(row rowFunc) {
				for _, e := range entries {
					row("%s\t%d", e.Name, e.Revision)
				}
			})
		})
		return exitOK
	}))
	del := cmd.Command("delete", "Remove an entry.")
	delName := del.Arg("name", "Name.").Required().String()
	delRev := del.Flag("revision", "Current revision of the entry, from get or list.").Required().Uint64()
	del.Action(run(func(ctx context.Context) int {
		result, err := f.client().Delete(ctx, catalog.Ref{Kind: kind, Name: *delName}, *delRev)
		return f.printChange(result, err)
	}))
}

func (f operatorFlags) printChange(r operator.ChangeResult, err error) int {
	if err != nil {
		return f.printError(err)
	}
	f.print(r, func() {
		fmt.Printf("%s: revision %d, change %s, %d ms\n", r.Verdict, r.Revision, r.ChangeID, r.TookMS)
		if len(r.WaitingFor) > 0 {
			fmt.Println("not yet confirmed by:", strings.Join(r.WaitingFor, ", "))
		}
	})
	if r.Verdict == revision.VerdictPending {
		return exitPending
	}
	return exitOK
}

// printError prints why a call failed and returns the exit code.
func (f operatorFlags) printError(err error) int {
	var problemErr *operator.ProblemError
	if !errors.As(err, &problemErr) {
		fmt.Fprintln(os.Stderr, err)
		if errors.Is(err, operator.ErrNoAnswer) {
			return exitUnknown
		}
		return exitFailed
	}
	if *f.output == "json" {
		fmt.Println(string(problemErr.JSON()))
	}
	fmt.Fprintln(os.Stderr, problemErr)
	for _, finding := range problemErr.Findings {
		fmt.Fprintln(os.Stderr, " ", finding)
	}
	for _, c := range problemErr.Conflicts {
		fmt.Fprintf(os.Stderr, "  %s %s: edited at revision %d, now at %d by %s\n", c.Ref.Kind, c.Ref.Name, c.Expect, c.Current, c.By)
	}
	switch {
	case problemErr.Code == problem.CodeConflict:
		return exitConflict
	case problemErr.Outcome == problem.MayHaveRun:
		fmt.Fprintf(os.Stderr, "  ask with: pearlanding change get %s\n", problemErr.ChangeID)
		return exitUnknown
	}
	return exitFailed
}

func addVM(app *kingpin.Application, run action, f operatorFlags) {
	cmd := app.Command("vm", "Manage upstream VMs.")
	cmd.Command("list", "List the VMs.").Action(run(func(ctx context.Context) int {
		vms, err := f.client().VMs(ctx)
		if err != nil {
			return f.printError(err)
		}
		f.print(vms, func() {
			printTable("VM\tPLACE\tDOMAIN\tADDRESS\tINTENT\tGROUP\tSTATE", func(row rowFunc) {
				for _, v := range vms {
					row("%s\t%s\t%s\t%s\t%s\t%s\t%s", v.Name, v.Place, v.Domain, v.Address, intentText(v), v.Group, v.GroupState)
				}
			})
		})
		return exitOK
	}))
	help := map[string]string{
		"drain":  "Send the VM no new work; its requests in progress are finished.",
		"stop":   "Drain the VM and keep it out of service permanently.",
		"resume": "Return the VM to service.",
	}
	for _, verb := range []string{"drain", "stop", "resume"} {
		sub := cmd.Command(verb, help[verb])
		vm := sub.Arg("vm", "Name of the VM.").Required().String()
		sub.Action(run(func(ctx context.Context) int {
			r, err := f.client().SetIntent(ctx, *vm, verb)
			if err != nil {
				return f.printError(err)
			}
			f.print(r, func() {
				fmt.Printf("%s: %s accepted; group %q has %d requests in progress, which are finished\n", r.VM, verb, r.Group, r.Running)
			})
			return exitOK
		}))
	}
}

func intentText(v operator.VMView) string {
	switch {
	case v.Gone:
		return "gone"
	case v.Leaving:
		return "leaving"
	case v.Intent == "":
		return "-"
	}
	return string(v.Intent)
}

func addViews(app *kingpin.Application, run action, f operatorFlags) {
	groups := app.Command("group", "Show groups.")
	groups.Command("list", "List the groups.").Action(run(func(ctx context.Context) int {
		list, err := f.client().Groups(ctx)
		if err != nil {
			return f.printError(err)
		}
		f.print(list, func() {
			printTable("GROUP\tPOOL\tDOMAIN\tEPOCH\tSTATE\tREADY\tRUNNING\tREASON", func(row rowFunc) {
				for _, g := range list {
					row("%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s", g.ID, g.Pool, g.Domain, g.Epoch, g.State, formatAge(g.ReadyAgeMS), g.Running, g.Reason)
				}
			})
		})
		return exitOK
	}))
	explain := app.Command("explain", "Show where the daemon sent a recent request and why.")
	id := explain.Arg("request-id", "Request id.").Required().String()
	explain.Action(run(func(ctx context.Context) int {
		raw, err := f.client().Explain(ctx, *id)
		if err != nil {
			return f.printError(err)
		}
		fmt.Println(string(raw))
		return exitOK
	}))
	status := app.Command("status", "Show the system as the daemon knows it.")
	watch := status.Flag("watch", "Refresh every second, in place.").Bool()
	status.Action(run(func(ctx context.Context) int {
		for {
			s, err := f.client().Status(ctx)
			if err != nil {
				return f.printError(err)
			}
			if *watch {
				fmt.Print("\x1b[H\x1b[2J")
			}
			f.print(s, func() { printStatus(s) })
			if !*watch {
				return exitOK
			}
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
				return exitOK
			}
		}
	}))
}

func printStatus(s operator.StatusView) {
	fmt.Printf("daemon %s  admitting %t  revision %d  in force everywhere up to %d  platform evidence %s old  in flight %d\n",
		s.Daemon, s.Admitting, s.Revision, s.Accepted, formatAge(s.PlatformAgeMS), s.InFlight)
	if len(s.WaitingFor) > 0 {
		fmt.Println("waiting for:", strings.Join(s.WaitingFor, ", "))
	}
	printTable("DAEMON\tPLACE\tSTATE\tREVISION\tHEARD", func(row rowFunc) {
		for _, d := range s.Daemons {
			row("%s\t%s\t%s\t%d\t%s", d.Slot, d.Place, d.State, d.Revision, formatAge(d.LastContactMS))
		}
	})
	printTable("DOMAIN\tPLACE\tHOLDER\tVMS\tGROUPS\tACCELERATORS NOT SERVING", func(row rowFunc) {
		for _, d := range s.Domains {
			row("%s\t%s\t%s\t%d\t%v\t%d", d.Name, d.Place, d.Holder, d.VMs, d.Groups, d.AcceleratorsNotServing)
		}
	})
	printTable("POOL\tWANTED\tSERVING", func(row rowFunc) {
		for _, p := range s.Pools {
			row("%s\t%d\t%d", p.Name, p.Wanted, p.Serving)
		}
	})
}

func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

type rowFunc func(format string, args ...any)

func printTable(head string, rows func(rowFunc)) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) })
	_ = w.Flush()
}
