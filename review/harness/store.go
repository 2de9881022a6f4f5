package harness

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

// storeDelay is the time that the platform's store takes to answer.
const storeDelay = 4 * time.Millisecond

// Metadata is the metadata of an object.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`
	kind    string
	at      uint64
}

// Store is a stand-in of the platform's store. It keeps its whole history.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]Object
	events   []event
	changed  chan struct{}
	server   *http.Server
}

// StartStore starts a store on a free port of an IP address.
func StartStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), revision: 500, kinds: make(map[string]map[string]Object), changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes the spec of an object, as the operator and the engines do, and returns the revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, data
	return s.write(kind, o).Metadata.Revision
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) write(kind string, o Object) Object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if len(o.Status) == 0 {
		o.Status = json.RawMessage("null")
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]Object)
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.notify(event{Object: o, kind: kind, at: s.revision})
	return o
}

func (s *Store) remove(kind, name string) {
	o, known := s.kinds[kind][name]
	if !known {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.notify(event{Removed: true, Object: o, kind: kind, at: s.revision})
}

func (s *Store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && query.Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, query.Get("after"), parts[0])
	case r.Method == http.MethodGet:
		s.get(w, parts[0], parts[1])
	case r.Method == http.MethodDelete && len(parts) == 2:
		s.delete(w, query.Get("revision"), parts[0], parts[1])
	case r.Method == http.MethodPost && len(parts) == 1:
		s.change(w, r, parts[0], "", false)
	case r.Method == http.MethodPut && len(parts) >= 2:
		s.change(w, r, parts[0], parts[1], len(parts) == 3)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) list(w http.ResponseWriter, after, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Object{}
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "asOf": s.revision})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.kinds[kind][name]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) delete(w http.ResponseWriter, revision, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.kinds[kind][name]
	switch {
	case !known:
		w.WriteHeader(http.StatusNotFound)
	case revision != "" && revision != strconv.FormatUint(o.Metadata.Revision, 10):
		answer(w, http.StatusConflict, o)
	default:
		s.remove(kind, name)
		answer(w, http.StatusOK, o)
	}
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var body Object
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	create := name == ""
	if create {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.kinds[kind][name]
	switch {
	case create && known, known && body.Metadata.Revision != 0 && body.Metadata.Revision != o.Metadata.Revision:
		answer(w, http.StatusConflict, o)
		return
	case !create && !known:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	o.Metadata.Name = name
	if status {
		o.Status = body.Status
	} else {
		o.Spec = body.Spec
	}
	answer(w, http.StatusOK, s.write(kind, o))
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		changed, asOf := s.changed, s.revision
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.at > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			over = true
		}
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
