package steady

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestTimeKeepsMonotonicReading(t *testing.T) {
	var at Time
	must.True(t, at.Load().IsZero())
	at.Store(time.Now())
	must.StrContains(t, at.Load().String(), "m=") // how Time.String shows the monotonic reading
}

// checkedPackages are the packages whose decisions depend on ages.
var checkedPackages = []string{"demand", "dispatch", "evacuation", "fleet", "formation", "front", "gateway", "quarantine", "relay", "upstream"}

// wallClockFuncs are the methods and functions that drop the monotonic reading.
var wallClockFuncs = map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true, "Round": true, "Truncate": true}

// visitSelectors calls f for each selector expression in the checked packages.
func visitSelectors(t *testing.T, f func(path string, sel *ast.SelectorExpr)) {
	t.Helper()
	for _, name := range checkedPackages {
		files, err := filepath.Glob("../" + name + "/*.go")
		must.NoError(t, err)
		must.SliceNotEmpty(t, files)
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			must.NoError(t, err)
			ast.Inspect(file, func(n ast.Node) bool {
				if sel, ok := n.(*ast.SelectorExpr); ok {
					f(path, sel)
				}
				return true
			})
		}
	}
}

// The time of day may be set at any moment, so no decision may use it. The age of a view, the
// slots of the repeat budget and the lease's record of doubled joins once did.
func TestNoDecisionUsesTimeOfDay(t *testing.T) {
	visitSelectors(t, func(path string, sel *ast.SelectorExpr) {
		if wallClockFuncs[sel.Sel.Name] {
			t.Errorf("%s uses %s", path, sel.Sel.Name)
		}
	})
}

// suspendedFuncs are the library's functions whose clock does not count suspensions, and those
// with deadlines of contexts, which cannot be mixed with times of another clock.
var suspendedFuncs = map[string]bool{"Now": true, "Since": true, "Until": true, "WithDeadline": true, "WithDeadlineCause": true}

// A machine may be suspended for seconds, which the library's clock does not count: a proof, a
// lease or an entry would look younger than it is. Decisions use Clock.
func TestNoDecisionUsesLibraryClock(t *testing.T) {
	visitSelectors(t, func(path string, sel *ast.SelectorExpr) {
		if of, ok := sel.X.(*ast.Ident); ok && suspendedFuncs[sel.Sel.Name] && (of.Name == "time" || of.Name == "context") {
			t.Errorf("%s uses %s.%s", path, of.Name, sel.Sel.Name)
		}
	})
}
