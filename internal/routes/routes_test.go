package routes

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func testTable() *Table {
	priority := 0
	return Compile(&Config{
		Version: 3,
		Routes: []Route{
			{Name: "root", Host: "a", Prefix: "/"},
			{Name: "deep", Host: "a", Prefix: "/x/y/"},
			{Name: "mid", Host: "a", Prefix: "/x/"},
			{Name: "other", Host: "b", Prefix: "/x/"},
		},
		Services:   []Service{{Name: "s", Engine: &Engine{Models: []Model{{Name: "m", ReplicaSize: 4}}}}, {Name: "plain"}},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}, Priority: &priority}},
	})
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := testTable()
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/y": "mid", "/x/": "mid", "/q": "root"} {
		must.Eq(t, want, table.Match("a", path).Name, must.Sprint(path))
	}
	must.Eq(t, "other", table.Match("b", "/x/y/z").Name)
	must.Nil(t, table.Match("b", "/q"))
	must.Nil(t, table.Match("c", "/x/"))
}

func TestKeysAndSizes(t *testing.T) {
	table := testTable()
	must.True(t, table.RequiresAPIKey())
	must.Eq(t, "w", table.Workspace("k2").Name)
	must.Nil(t, table.Workspace(""))
	must.Eq(t, 4, table.ModelSize("s", "m"))
	must.Eq(t, 0, table.ModelSize("s", "n"))
	must.Eq(t, 0, table.ModelSize("plain", "m"))
	must.Eq(t, 0, table.ModelSize("none", "m"))
}

func TestSplitFollowsWeightsAndIsStable(t *testing.T) {
	r := Route{Split: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}}
	count := map[string]int{}
	for i := range 10000 {
		id := fmt.Sprint("id-", i)
		must.Eq(t, r.PickService(id), r.PickService(id))
		count[r.PickService(id)]++
	}
	must.Between(t, 8500, count["a"], 9500)
	must.Eq(t, 10000, count["a"]+count["b"])
	must.Eq(t, "", (&Route{Split: []WeightedService{{"a", 0}, {"b", 0}}}).PickService("x"))
}

func TestRequestsThatMayRunMoreThanOnce(t *testing.T) {
	must.True(t, (&Route{Kind: Idempotent}).Retryable())
	must.True(t, (&Route{Kind: Stream, Resumable: true}).Retryable())
	must.False(t, (&Route{Kind: Stream}).Retryable())
	must.False(t, (&Route{Kind: AtMostOnce, Resumable: true}).Retryable())
}
