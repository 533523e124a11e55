package front

import (
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/routes"
)

func testConfig() *configFollower {
	return &configFollower{key: "config/main", log: zap.NewNop(), changed: func() {}, decode: func(value []byte) (*routes.Config, error) {
		version, err := strconv.ParseUint(string(value), 10, 64)
		return &routes.Config{Version: version}, err
	}}
}

func object(version uint64, value string) objectapi.Object {
	return objectapi.Object{Key: "config/main", Version: version, Value: []byte(value)}
}

var now = time.Unix(1000, 0)

func TestOlderConfigurationNeverComesBack(t *testing.T) {
	f := testConfig()
	f.take(object(5, "50"), nil, now)
	f.take(object(4, "40"), nil, now.Add(time.Second)) // an answer that was overtaken
	must.Eq(t, 50, f.Table().Config.Version)
	must.Eq(t, now, f.Current().Proved)
}

func TestProofCountsFromWhenTheReadWasSent(t *testing.T) {
	f := testConfig()
	f.take(object(5, "50"), nil, now)
	f.take(object(5, "50"), nil, now.Add(3*time.Second))
	must.Eq(t, now.Add(3*time.Second), f.Current().Proved)
	f.take(objectapi.Object{}, errors.New("no answer"), now.Add(9*time.Second))
	must.Eq(t, now.Add(3*time.Second), f.Current().Proved)
}

func TestConfigurationNotUnderstoodProvesNothing(t *testing.T) {
	f := testConfig()
	f.take(object(5, "50"), nil, now)
	f.take(object(6, "what"), nil, now.Add(time.Second))
	must.Eq(t, 50, f.Table().Config.Version)
	must.Eq(t, now, f.Current().Proved)
}

func TestFreshProcessKnowsNoConfiguration(t *testing.T) {
	f := testConfig()
	f.take(objectapi.Object{}, objectapi.ErrNotFound, now)
	must.Nil(t, f.Table())
}

// A watch that hears nothing must not delay a change (seen as CONFIG: after an
// outage of the store reads were 2.8 s apart, and the watch deaf).
func TestReadsAloneKeepTheBounds(t *testing.T) {
	must.Eq(t, 1400*time.Millisecond, readEvery(Bounds{Config: 2 * time.Second, Revoke: 5 * time.Second}))
	must.Eq(t, 500*time.Millisecond, readEvery(Bounds{Config: 3 * time.Second, Revoke: time.Second}))
	must.Eq(t, defaultRead, readEvery(Bounds{}))
}
