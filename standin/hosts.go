package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/bronzeturn/bronzeturn/hostlist"
)

// PathHosts replaces the list on PUT. The body is a []hostlist.Host.
const PathHosts = "/control/hosts"

// HostListConfig configures a HostList.
type HostListConfig struct {
	// Lag is the delay until a change becomes visible.
	Lag time.Duration
	// Hosts is the initial list. The revisions in it are ignored.
	Hosts []hostlist.Host
}

// HostList is a stand-in for the platform's host list.
type HostList struct {
	server
	lag time.Duration

	mu          sync.Mutex
	revision    uint64
	hosts       []hostlist.Host
	listHistory history[hostlist.List]
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

// get responds with the list, or with status 304 if the caller already has it.
func (h *HostList) get(w http.ResponseWriter, r *http.Request) {
	list := h.visibleList()
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

// Replace replaces the list. Hosts that changed get a new revision.
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
	h.recordHistory()
}

// SetState sets the state of a host. It returns false if the host is not listed.
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
	h.recordHistory()
	return true
}

// Remove removes a host from the list. It returns false if the host is not listed.
func (h *HostList) Remove(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.find(name)
	if i < 0 {
		return false
	}
	h.revision++
	h.hosts = slices.Delete(slices.Clone(h.hosts), i, i+1)
	h.recordHistory()
	return true
}

// find returns the index of a host, or -1. The caller must hold h.mu.
func (h *HostList) find(name string) int {
	return slices.IndexFunc(h.hosts, func(host hostlist.Host) bool { return host.Name == name })
}

// recordHistory adds the current list to the history. The caller must hold h.mu.
func (h *HostList) recordHistory() {
	h.listHistory.add(time.Now(), hostlist.List{Revision: h.revision, Hosts: h.hosts})
}

// visibleList returns the list with the configured lag.
func (h *HostList) visibleList() hostlist.List {
	lag := h.lag + h.faults.get().lag()
	h.mu.Lock()
	defer h.mu.Unlock()
	list, _ := h.listHistory.asOf(time.Now().Add(-lag))
	if list.Hosts == nil {
		list.Hosts = []hostlist.Host{}
	}
	return list
}
