package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/bronzeturn/bronzeturn/hostlist"
)

// PathHosts takes a []hostlist.Host by PUT, which replaces the list.
const PathHosts = "/control/hosts"

// HostListConfig configures a HostList.
type HostListConfig struct {
	// Lag is the time after which a change shows.
	Lag time.Duration
	// Hosts are listed from the start. Their revisions are set anew.
	Hosts []hostlist.Host
}

// HostList stands in for the platform's host list.
type HostList struct {
	server
	lag time.Duration

	mu       sync.Mutex
	revision uint64
	hosts    []hostlist.Host
	past     history[hostlist.List]
}

// NewHostList returns a HostList.
func NewHostList(cfg HostListConfig) *HostList {
	h := &HostList{lag: cfg.Lag}
	h.Replace(cfg.Hosts)
	router := bunrouter.New().Compat()
	router.GET(hostlist.Path, h.get)
	h.handler = router
	control := h.newControl()
	control.PUT(PathHosts, h.putHosts)
	h.control = control
	return h
}

// get answers the list, or that it is still the one that the caller knows.
func (h *HostList) get(w http.ResponseWriter, r *http.Request) {
	list := h.shown()
	tag := hostlist.EntityTag(list.Revision)
	w.Header().Set("ETag", tag)
	if tag != "" && r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, list)
}

func (h *HostList) putHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []hostlist.Host
	if !readJSON(w, r, &hosts) {
		return
	}
	h.Replace(hosts)
	writeJSON(w, hosts)
}

// Replace makes hosts the whole list. Hosts that change get a new revision.
func (h *HostList) Replace(hosts []hostlist.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision++
	next := slices.Clone(hosts)
	for i := range next {
		next[i].Revision = h.revision
		if old := h.find(next[i].Name); old >= 0 {
			same := h.hosts[old]
			same.Revision = h.revision
			if same == next[i] {
				next[i].Revision = h.hosts[old].Revision
			}
		}
	}
	h.hosts = next
	h.record()
}

// SetState changes the state of one host and tells whether it is listed.
func (h *HostList) SetState(name string, state hostlist.State) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.find(name)
	if i < 0 {
		return false
	}
	h.revision++
	h.hosts = slices.Clone(h.hosts)
	h.hosts[i].State = state
	h.hosts[i].Revision = h.revision
	h.record()
	return true
}

// Remove takes one host off the list and tells whether it was listed.
func (h *HostList) Remove(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.find(name)
	if i < 0 {
		return false
	}
	h.revision++
	h.hosts = slices.Delete(slices.Clone(h.hosts), i, i+1)
	h.record()
	return true
}

// find returns the index of a host, or -1. The caller holds the lock.
func (h *HostList) find(name string) int {
	return slices.IndexFunc(h.hosts, func(host hostlist.Host) bool { return host.Name == name })
}

// record keeps the list in force. The caller holds the lock.
func (h *HostList) record() {
	h.past.add(time.Now(), hostlist.List{Revision: h.revision, Hosts: h.hosts})
}

// shown returns the list as it was before the lag.
func (h *HostList) shown() hostlist.List {
	lag := h.lag + h.faults.get().lag()
	h.mu.Lock()
	defer h.mu.Unlock()
	list, _ := h.past.asOf(time.Now().Add(-lag))
	if list.Hosts == nil {
		list.Hosts = []hostlist.Host{}
	}
	return list
}
