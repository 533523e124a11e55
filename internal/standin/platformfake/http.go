package platformfake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// Handler returns the handler of the object API, the VM list, the weight store and the /fake
// endpoints. It is built on the standard library's server, not on the daemon's HTTP library:
// with that library on both sides, a fault in it could go unnoticed.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", s.serveGet)
	mux.HandleFunc("PUT /v1/objects/{key...}", s.servePut)
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.serveDelete)
	mux.HandleFunc("GET /v1/list", func(w http.ResponseWriter, r *http.Request) {
		out, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
		writeReply(w, out, err)
	})
	mux.HandleFunc("GET /v1/watch", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		out, err := s.Watch(r.Context(), r.URL.Query().Get("prefix"), after)
		writeReply(w, out, err)
	})
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		out, err := s.VMs(r.Context(), r.URL.Query().Get("domain"))
		writeReply(w, out, err)
	})
	mux.HandleFunc("POST /v1/weights", func(w http.ResponseWriter, r *http.Request) {
		mb, _ := strconv.Atoi(r.URL.Query().Get("megabytes"))
		writeReply(w, struct{}{}, s.Weights(r.Context(), mb))
	})
	mux.HandleFunc("PUT /fake/vms", s.servePutVM)
	mux.HandleFunc("DELETE /fake/vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.SetVMState(r.PathValue("name"), "")
		writeReply(w, struct{}{}, nil)
	})
	mux.HandleFunc("PUT /fake/faults", s.servePutFaults)
	mux.HandleFunc("GET /fake/calls", func(w http.ResponseWriter, _ *http.Request) { writeReply(w, s.Calls(), nil) })
	return mux
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	obj, err := s.Get(r.Context(), r.PathValue("key"))
	writeReply(w, obj, err)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, objectapi.MaxValueBytes+1))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var version uint64
	if r.Header.Get("If-None-Match") == "*" {
		version, err = s.Create(r.Context(), r.PathValue("key"), body)
	} else {
		expect, _ := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
		version, err = s.Update(r.Context(), r.PathValue("key"), expect, body)
	}
	writeReply(w, map[string]uint64{"version": version}, err)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	expect, _ := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	writeReply(w, map[string]uint64{}, s.Delete(r.Context(), r.PathValue("key"), expect))
}

func (s *Store) servePutVM(w http.ResponseWriter, r *http.Request) {
	var vm objectapi.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil || vm.Name == "" {
		http.Error(w, "want a VM with a name", http.StatusBadRequest)
		return
	}
	s.AddVM(vm)
	writeReply(w, vm, nil)
}

func (s *Store) servePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "want faults as JSON", http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeReply(w, f, nil)
}

// writeReply writes the JSON answer or the error status of a call. For a lost answer it
// aborts the connection.
func writeReply(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	case errors.Is(err, objectapi.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, objectapi.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, objectapi.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, objectapi.ErrUnknownOutcome):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
