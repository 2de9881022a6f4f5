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

// wait waits for a change in slices of watchCharge and charges one read for
// each further slice.
func (a *ObjectAPI) wait(r *http.Request, prefix string, after uint64, wait time.Duration) ([]objectstore.Object, error) {
	end := time.Now().Add(wait)
	for {
		left := time.Until(end)
		if left <= 0 {
			return nil, nil
		}
		ctx, cancel := context.WithTimeout(r.Context(), min(left, watchCharge))
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
	// maxListed and maxListedBytes bound one answer of list or watch.
	maxListed      = 1000
	maxListedBytes = 16 << 20
)

// writeObjects answers the objects, as many as fit into one answer.
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
	_, _ = w.Write(body) // A caller that is gone needs no answer.
}
