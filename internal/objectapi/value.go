package objectapi

import (
	"bytes"
	"encoding/json"

	"pearlanding/internal/rawjson"
)

// maxValueDepth is how deep the value of an object may be nested. The deepest ones in use have seven levels; daemons
// put values into messages to others, which refuse a text of more than 10,000.
const maxValueDepth = 100

// ReadableValue returns a copy of an object's value, or nil if it can't be read: it is no JSON, or nested too deep.
// Other writers may leave such values, and daemons must not pass them on.
func ReadableValue(text []byte) json.RawMessage {
	if rawjson.Depth(text) > maxValueDepth || !json.Valid(text) {
		return nil
	}
	return bytes.Clone(text) // the whole answer would be kept with it
}
