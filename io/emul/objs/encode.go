package objs

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// The bodies are put together here, since encoding/json refuses specs that another
// writer may have stored: nested deeply, or no JSON at all.

func appendObject(b []byte, o Object) []byte {
	b = append(b, `{"meta":`...)
	b = appendJSON(b, o.Meta)
	b = append(b, `,"spec":`...)
	b = appendRaw(b, o.Spec)
	b = append(b, `,"status":`...)
	b = appendRaw(b, o.Status)
	return append(b, '}')
}

func appendJSON(b []byte, v any) []byte {
	enc, err := json.Marshal(v)
	if err != nil {
		panic("objs: cannot encode: " + err.Error())
	}
	return append(b, enc...)
}

func appendRaw(b []byte, raw json.RawMessage) []byte {
	if raw == nil {
		return append(b, "null"...)
	}
	return append(b, raw...)
}

// appendArray appends a member of an object that is an array.
func appendArray[T any](b []byte, name string, list []T, element func([]byte, T) []byte) []byte {
	b = append(b, '"')
	b = append(b, name...)
	b = append(b, `":[`...)
	for i, v := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = element(b, v)
	}
	return append(b, ']')
}

func answerList(w http.ResponseWriter, items []Object, more bool, at uint64) {
	b := appendArray([]byte{'{'}, "items", items, appendObject)
	b = append(b, `,"more":`...)
	b = strconv.AppendBool(b, more)
	answer(w, b, at)
}

func answerEvents(w http.ResponseWriter, events []Event, at uint64) {
	answer(w, appendArray([]byte{'{'}, "events", events, func(b []byte, e Event) []byte {
		b = append(b, `{"removed":`...)
		b = strconv.AppendBool(b, e.Removed)
		b = append(b, `,"object":`...)
		return append(appendObject(b, e.Object), '}')
	}), at)
}

// answer completes a body with the revision that it leads to.
func answer(w http.ResponseWriter, b []byte, at uint64) {
	b = append(b, `,"at":`...)
	b = strconv.AppendUint(b, at, 10)
	w.Header().Set("Content-Type", "application/json")
	// A write fails only when the caller has disconnected.
	_, _ = w.Write(append(b, '}'))
}
