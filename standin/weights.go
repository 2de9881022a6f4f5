package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"strings"

	"github.com/uptrace/bunrouter"
	"golang.org/x/time/rate"

	"github.com/bronzeturn/bronzeturn/weightstore"
)

// WeightStoreConfig configures a WeightStore.
type WeightStoreConfig struct {
	// Versions maps each version to its size in bytes.
	Versions map[string]int64
	// CallsPerSecond limits the rate of calls. Zero means no limit.
	CallsPerSecond float64
	// BytesPerSecond is the rate of a transfer. Zero means unlimited.
	BytesPerSecond int64
}

// WeightStore is a stand-in for the platform's weight store. It transfers no
// weights, but reports how long the transfer would take.
type WeightStore struct {
	server
	cfg   WeightStoreConfig
	limit *rate.Limiter
}

// NewWeightStore returns a WeightStore.
func NewWeightStore(cfg WeightStoreConfig) *WeightStore {
	s := &WeightStore{cfg: cfg, limit: newLimiter(cfg.CallsPerSecond)}
	router := bunrouter.New().Compat()
	router.GET(weightstore.PathWeights+"*version", s.stat)
	router.POST(weightstore.PathWeights+"*version", s.fetch)
	s.handler = router
	s.control = s.newControl()
	return s
}

// find returns the weights that the path names. If there are none, or the rate
// limit is reached, it responds with an error and returns false.
func (s *WeightStore) find(w http.ResponseWriter, escaped string) (weightstore.Weights, bool) {
	if !s.limit.Allow() {
		writeRateLimited(w, s.limit)
		return weightstore.Weights{}, false
	}
	version, err := url.PathUnescape(strings.TrimPrefix(escaped, weightstore.PathWeights))
	size, ok := s.cfg.Versions[version]
	if err != nil || !ok {
		http.Error(w, "no such version", http.StatusNotFound)
		return weightstore.Weights{}, false
	}
	sum := sha256.Sum256([]byte(version))
	return weightstore.Weights{Version: version, Bytes: size, SHA256: hex.EncodeToString(sum[:])}, true
}

func (s *WeightStore) stat(w http.ResponseWriter, r *http.Request) {
	if found, ok := s.find(w, r.URL.EscapedPath()); ok {
		writeJSON(w, found)
	}
}

func (s *WeightStore) fetch(w http.ResponseWriter, r *http.Request) {
	found, ok := s.find(w, strings.TrimSuffix(r.URL.EscapedPath(), weightstore.PathFetch))
	if !ok {
		return
	}
	transfer := weightstore.Transfer{Weights: found}
	if s.cfg.BytesPerSecond > 0 {
		transfer.Millis = found.Bytes * 1000 / s.cfg.BytesPerSecond
	}
	writeJSON(w, transfer)
}
