package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// objectMeta is the store's metadata of an object.
type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// storeObject is one object of the store.
type storeObject struct {
	Metadata objectMeta      `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// storeEvent is one change.
type storeEvent struct {
	Removed bool        `json:"removed"`
	Object  storeObject `json:"object"`
	kind    string
}

// pageSize is the maximum number of objects in one answer to a list.
const pageSize = 500

// store is the platform's store: objects by kind and name, with conditional writes and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]storeObject
	events   []storeEvent
	changed  chan struct{}
	address  string
}

// startStore serves a store on loopback until the process ends.
func startStore() (*store, error) {
	s := &store{revision: 1, kinds: make(map[string]map[string]storeObject), changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes the spec of an object without a condition, as operators do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, data
	s.write(kind, o)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// status returns the status of an object.
func (s *store) status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.kinds[kind][name].Status)
}

// write stores an object under the next revision. The caller holds mu.
func (s *store) write(kind string, o storeObject) storeObject {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]storeObject)
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.record(storeEvent{Object: o, kind: kind})
	return o
}

// drop removes an object. The caller holds mu.
func (s *store) drop(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	o.Metadata.Revision = s.revision
	s.record(storeEvent{Removed: true, Object: o, kind: kind})
}

// record adds an event and wakes the watches. The caller holds mu.
func (s *store) record(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodDelete:
		s.remover(w, r, kind, name)
	default:
		s.replace(w, r, kind, name, len(parts) > 2)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, truncated := []storeObject{}, false
	var names []string
	for name := range s.kinds[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if len(names) > pageSize {
		names, truncated = names[:pageSize], true
	}
	for _, name := range names {
		items = append(items, s.kinds[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "asOf": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, asOf, changed := []storeEvent{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}

func (s *store) remover(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	if want, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); want > 0 && want != o.Metadata.Revision {
		answer(w, http.StatusConflict, o)
		return
	}
	s.drop(kind, name)
	answer(w, http.StatusOK, o)
}

// replace creates an object (POST) or replaces its spec, or its status only.
func (s *store) replace(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var in storeObject
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	create := r.Method == http.MethodPost
	if create {
		name = in.Metadata.Name
	}
	old, ok := s.kinds[kind][name]
	switch {
	case create && ok, !create && ok && in.Metadata.Revision > 0 && in.Metadata.Revision != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
		return
	case !create && !ok:
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	next := old
	next.Metadata.Name = name
	if status {
		next.Status = in.Status
	} else {
		next.Spec, next.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
	}
	if ok && string(next.Spec) == string(old.Spec) && string(next.Status) == string(old.Status) {
		answer(w, http.StatusOK, old) // It changes nothing.
		return
	}
	code := http.StatusOK
	if create {
		code = http.StatusCreated
	}
	answer(w, code, s.write(kind, next))
}
