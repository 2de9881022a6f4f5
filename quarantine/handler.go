package quarantine

import (
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"
	"google.golang.org/protobuf/encoding/protojson"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Path is the URL path of the list of quarantined requests. DELETE on Path/HASH clears one
// entry.
const Path = "/quarantine"

// Handler returns the operators' HTTP handler, which lists and clears entries. It has no
// authentication, so its listener belongs on a private address.
func (q *Quarantine) Handler() http.Handler {
	router := bunrouter.New().Compat()
	router.GET(Path, q.serveList)
	router.DELETE(Path+"/:hash", q.serveClear)
	return router
}

// serveList answers with a QuarantineList as JSON.
func (q *Quarantine) serveList(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	list := &bronzeturnv1.QuarantineList{}
	for _, r := range q.Entries() {
		list.Entries = append(list.Entries, &bronzeturnv1.QuarantineEntry{
			Hash: r.Hash.String(), Service: r.Service, Versions: r.Versions, Engines: r.Engines,
			FirstAgeMs: now.Sub(r.First).Milliseconds(), LastAgeMs: now.Sub(r.Last).Milliseconds(),
			Tied: r.Tied, RetriesLeft: uint32(r.RetriesLeft), Daemon: r.Daemon,
			Shared: r.Shared, With: Strings(r.With),
		})
	}
	data, err := protojson.Marshal(list)
	if err != nil {
		q.Log.Error().Err(err).Msg("list of quarantined requests not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // The client may have disconnected.
}

// serveClear clears one entry. It answers 204, 404 if the request is not in quarantine, or 400
// if the hash is malformed.
func (q *Quarantine) serveClear(w http.ResponseWriter, r *http.Request) {
	h, ok := ParseHash(bunrouter.ParamsFromContext(r.Context()).ByName("hash"))
	switch {
	case !ok:
		w.WriteHeader(http.StatusBadRequest)
	case !q.Clear(h):
		w.WriteHeader(http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
