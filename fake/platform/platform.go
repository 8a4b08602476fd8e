// Package platform is a stand-in of the platform's object API over HTTP, for
// tests, the demo and the standin process.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/store"
)

// PathFaults reads (GET) and sets (PUT) the switches for failures, a
// store.Faults in JSON. It answers during an outage too.
const PathFaults = "/admin/faults"

// Platform is the stand-in: an http.Handler over the memory twin.
type Platform struct {
	Memory *store.Memory
	mux    *http.ServeMux
}

// New returns a stand-in over memory.
func New(memory *store.Memory) *Platform {
	p := &Platform{Memory: memory, mux: http.NewServeMux()}
	p.mux.HandleFunc("GET "+store.PathObjects+"{kind}", p.listOrWatch)
	p.mux.HandleFunc("GET "+store.PathObjects+"{kind}/{name}", p.get)
	p.mux.HandleFunc("PUT "+store.PathObjects+"{kind}/{name}", p.put)
	p.mux.HandleFunc("DELETE "+store.PathObjects+"{kind}/{name}", p.remove)
	p.mux.HandleFunc("GET "+PathFaults, p.faults)
	p.mux.HandleFunc("PUT "+PathFaults, p.setFaults)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	object, err := p.Memory.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", store.ETag(object.Version))
	_, _ = w.Write(object.Value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	expect, ok := condition(r)
	if !ok {
		http.Error(w, "If-Match with a version or If-None-Match: * required", http.StatusPreconditionRequired)
		return
	}
	version, err := p.Memory.Put(r.Context(), r.PathValue("kind"), r.PathValue("name"), value, expect)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", store.ETag(version))
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	expect, ok := condition(r)
	if !ok || expect == 0 {
		http.Error(w, "If-Match with a version required", http.StatusPreconditionRequired)
		return
	}
	version, err := p.Memory.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), expect)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", store.ETag(version))
}

func (p *Platform) listOrWatch(w http.ResponseWriter, r *http.Request) {
	var (
		objects  []store.Object
		revision store.Version
		err      error
	)
	if after := r.URL.Query().Get(store.ParamAfter); after != "" {
		number, parseErr := strconv.ParseUint(after, 10, 64)
		if parseErr != nil {
			http.Error(w, parseErr.Error(), http.StatusBadRequest)
			return
		}
		objects, revision, err = p.Memory.Watch(r.Context(), r.PathValue("kind"), store.Version(number))
	} else {
		objects, revision, err = p.Memory.List(r.Context(), r.PathValue("kind"))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeList(w, objects, revision)
}

func (p *Platform) faults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Memory.Faults()) }

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults store.Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Memory.SetFaults(faults)
	writeJSON(w, faults)
}

// condition reads the version that a write expects.
func condition(r *http.Request) (store.Version, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	return store.ParseETag(r.Header.Get("If-Match"))
}

func writeList(w http.ResponseWriter, objects []store.Object, revision store.Version) {
	list := store.ObjectList{Revision: revision, Objects: make([]store.WireObject, len(objects))}
	for i, o := range objects {
		list.Objects[i] = store.WireObject{Name: o.Name, Version: o.Version, Value: o.Value, Deleted: o.Deleted}
	}
	w.Header().Set(store.HeaderRevision, strconv.FormatUint(uint64(revision), 10))
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, err error) {
	var bad *store.VersionError
	switch {
	case errors.Is(err, store.ErrOutcomeUnknown):
		// The answer is lost: the connection ends without one.
		panic(http.ErrAbortHandler)
	case errors.As(err, &bad):
		if bad.Current != 0 {
			w.Header().Set("ETag", store.ETag(bad.Current))
		}
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, store.ErrNoObject):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, store.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
