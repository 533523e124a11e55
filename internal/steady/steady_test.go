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

func TestTimeKeepsTheSteadyClocksReading(t *testing.T) {
	var at Time
	must.True(t, at.Load().IsZero())
	at.Store(time.Now())
	must.StrContains(t, at.Load().String(), "m=") // how the library shows the reading
}

// deciders are the packages whose decisions rest on ages.
var deciders = []string{"dispatch", "fleet", "formation", "front", "gateway", "quarantine", "relay", "upstream"}

// timeOfDay are the methods and functions that leave the steady clock's reading out.
var timeOfDay = map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true, "Round": true, "Truncate": true}

// selectors calls f with each selector expression in the packages that decide.
func selectors(t *testing.T, f func(path string, sel *ast.SelectorExpr)) {
	t.Helper()
	for _, name := range deciders {
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

// Clocks may be set at any moment: nothing that decides may count by the time of
// day (found by reading: the age of a view, the repeat budget's slots and the
// lease's note of doubled joins did).
func TestNoDecisionRestsOnTheTimeOfDay(t *testing.T) {
	selectors(t, func(path string, sel *ast.SelectorExpr) {
		if timeOfDay[sel.Sel.Name] {
			t.Errorf("%s uses %s", path, sel.Sel.Name)
		}
	})
}

// standsStill are the library's functions whose clock does not count a suspension; deadlines
// of contexts mix with no time of another clock.
var standsStill = map[string]bool{"Now": true, "Since": true, "Until": true, "WithDeadline": true, "WithDeadlineCause": true}

// A machine may be suspended for seconds, which the library's clock does not count: a proof, a
// lease or an entry would be taken for younger than it is. What decides tells the time by Clock.
func TestNoDecisionRestsOnAClockThatStandsStill(t *testing.T) {
	selectors(t, func(path string, sel *ast.SelectorExpr) {
		if of, ok := sel.X.(*ast.Ident); ok && standsStill[sel.Sel.Name] && (of.Name == "time" || of.Name == "context") {
			t.Errorf("%s uses %s.%s", path, of.Name, sel.Sel.Name)
		}
	})
}
