package decisionlog

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const savedLog = `
  1.0 front-1 {"level":"info","ts":"2026-12-02T10:00:01Z","msg":"configuration in force","config_version":7}
  1.1 front-2 {"level":"info","ts":"2026-12-02T10:00:01.1Z","msg":"configuration in force","config_version":7}
  2.0 front-3 {"level":"info","ts":"2026-12-02T10:00:02Z","msg":"instance taken for dead","instance":"i-1","group":"g-1"}
  2.1 front-3 {"level":"info","ts":"2026-12-02T10:00:02.1Z","msg":"instance taken for dead","instance":"i-9","group":"g-9"}
no JSON here, and { none there
  2.5 front-1 {"level":"info","ts":"2026-12-02T10:00:02.5Z","msg":"request","id":"abc","status":502,"sends":[{"instance":"i-1","group":"g-1","end":"gateway: stream stands still"}]}
  2.6 front-1 {"level":"info","ts":"2026-12-02T10:00:02.6Z","msg":"request","id":"other","status":200,"sends":[{"instance":"i-1"}]}
`

func TestStoryTellsARequestAndWhatWasBelieved(t *testing.T) {
	lines, err := ReadLines("log", strings.NewReader(savedLog))
	must.NoError(t, err)
	must.Len(t, 6, lines)
	story := Story(lines, "abc")
	must.Len(t, 3, story)
	must.Eq(t, "configuration in force", story[0].Text)
	must.Eq(t, "front-1", story[0].Source)
	must.Eq(t, "instance taken for dead", story[1].Text)
	must.Eq(t, "front-3", story[1].Source)
	must.StrContains(t, story[2].String(), `status=502`)
	must.SliceEmpty(t, Story(lines, "nobody"))
}

func FuzzReadLines(f *testing.F) {
	f.Add(savedLog)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := ReadLines("log", strings.NewReader(text))
		if err != nil {
			return
		}
		for _, l := range lines {
			_ = l.String()
		}
		Story(lines, "abc")
	})
}
