package standin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// wait waits for a change and charges one read for each watchChargeInterval that
// passes without one, also if the last of them is shorter. The charge may exceed
// the rate limit, at the expense of later reads.
func (a *ObjectAPI) wait(r *http.Request, prefix string, after uint64, wait time.Duration) ([]objectstore.Object, error) {
	end := time.Now().Add(wait)
	for {
		left := time.Until(end)
		if left <= 0 {
			return nil, nil
		}
		ctx, cancel := context.WithTimeout(r.Context(), min(left, watchChargeInterval))
		objects, err := a.store.Watch(ctx, prefix, after)
		cancel()
		if err == nil && len(objects) > 0 {
			return objects, nil
		}
		if err != nil && (r.Context().Err() != nil || !errors.Is(err, context.DeadlineExceeded)) {
			return nil, err
		}
		a.reads.Reserve()
		a.watchSeconds.Add(1)
	}
}

const (
	// maxListed and maxListedBytes bound one list or watch response.
	maxListed      = 1000
	maxListedBytes = 16 << 20
)

// writeObjects responds with as many of the objects as fit into one response, and
// says whether there are more.
func writeObjects(w http.ResponseWriter, objects []objectstore.Object) {
	found := &bronzeturnv1.StoredObjects{}
	size := 0
	for i, o := range objects {
		size += len(o.Value)
		if i == maxListed || i > 0 && size > maxListedBytes {
			found.More = true
			break
		}
		found.Objects = append(found.Objects, &bronzeturnv1.StoredObject{Key: o.Key, Revision: o.Revision, Value: o.Value})
	}
	body, err := proto.Marshal(found)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/protobuf")
	_, _ = w.Write(body) // A write error means that the caller has disconnected.
}
