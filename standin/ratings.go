package standin

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uptrace/bunrouter"

	"github.com/bronzeturn/bronzeturn/rating"
)

// PathQuality sets entries on PUT. The body is a []Quality; entries that it does
// not contain stay.
const PathQuality = "/control/quality"

// Quality is the true quality of a version for a kind of request. An empty Kind
// means all kinds that have no entry of their own.
type Quality struct {
	Version string  `json:"version"`
	Kind    string  `json:"kind"`
	Quality float64 `json:"quality"`
}

// RatingServiceConfig configures a RatingService.
type RatingServiceConfig struct {
	Quality []Quality
	// DefaultQuality is the quality of versions without an entry.
	DefaultQuality float64
	// Noise is the standard deviation of the scores around the quality.
	Noise float64
	// Bias is added to the scores from an organisation, by its name.
	Bias map[string]float64
	// RatedShare is the share of samples that get a rating. Zero means all.
	RatedShare float64
	// Lag is the delay until a rating becomes visible.
	Lag time.Duration
}

const (
	// ratingsKept bounds the number of ratings and of sample ids kept.
	ratingsKept = 100_000
	// ratingsPage is the largest number of ratings in one poll response.
	ratingsPage = 1000
)

// RatingService is a stand-in for the platform's rating service.
type RatingService struct {
	server
	cfg RatingServiceConfig

	mu       sync.Mutex
	quality  map[[2]string]float64
	seen     *counter
	sequence uint64
	ratings  []timedRating
}

// timedRating is a rating and the time at which it was given.
type timedRating struct {
	rating.Rating
	at time.Time
}

// NewRatingService returns a RatingService.
func NewRatingService(cfg RatingServiceConfig) *RatingService {
	r := &RatingService{cfg: cfg, quality: make(map[[2]string]float64), seen: newCounter(ratingsKept)}
	r.SetQuality(cfg.Quality...)
	router := bunrouter.New().Compat()
	router.POST(rating.PathSamples, r.submit)
	router.GET(rating.PathRatings, r.poll)
	r.handler = router
	control := r.newControl()
	control.PUT(PathQuality, r.putQuality)
	r.control = control
	return r
}

func (s *RatingService) putQuality(w http.ResponseWriter, r *http.Request) {
	var entries []Quality
	if !readJSON(w, r, &entries) {
		return
	}
	s.SetQuality(entries...)
	writeJSON(w, entries)
}

// SetQuality sets the true quality of versions, for samples submitted from now on.
func (s *RatingService) SetQuality(entries ...Quality) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range entries {
		s.quality[[2]string{q.Version, q.Kind}] = q.Quality
	}
}

func (s *RatingService) submit(w http.ResponseWriter, r *http.Request) {
	var sample rating.Sample
	if !readJSON(w, r, &sample) {
		return
	}
	s.rate(sample)
	writeJSON(w, struct{}{})
}

// rate rates a sample immediately. The rating becomes visible after the lag. The
// request id determines the noise and whether there is a rating at all.
func (s *RatingService) rate(sample rating.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen.add(sample.RequestID) > 1 {
		return
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(sample.RequestID), 0))
	if s.cfg.RatedShare > 0 && random.Float64() >= s.cfg.RatedShare {
		return
	}
	score := s.trueQuality(sample) + s.cfg.Bias[sample.Organisation] + s.cfg.Noise*random.NormFloat64()
	s.sequence++
	if len(s.ratings) >= ratingsKept {
		s.ratings = append(s.ratings[:0], s.ratings[ratingsKept/2:]...)
	}
	s.ratings = append(s.ratings, timedRating{at: time.Now(), Rating: rating.Rating{
		Sequence: s.sequence, RequestID: sample.RequestID, Organisation: sample.Organisation,
		Version: sample.Version, Kind: sample.Kind, Accepted: sample.Accepted, Score: math.Min(math.Max(score, 0), 1),
	}})
}

// trueQuality returns the quality for a sample. The caller must hold s.mu.
func (s *RatingService) trueQuality(sample rating.Sample) float64 {
	if q, ok := s.quality[[2]string{sample.Version, sample.Kind}]; ok {
		return q
	}
	if q, ok := s.quality[[2]string{sample.Version, ""}]; ok {
		return q
	}
	return s.cfg.DefaultQuality
}

func (s *RatingService) poll(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, rating.Ratings{Ratings: s.visibleRatings(after)})
}

// visibleRatings returns a page of the ratings that are older than the lag and
// whose sequence number is above after. Ratings become visible in the order of
// their sequence numbers.
func (s *RatingService) visibleRatings(after uint64) []rating.Rating {
	known := time.Now().Add(-s.cfg.Lag - s.faults.get().lag())
	s.mu.Lock()
	defer s.mu.Unlock()
	page := []rating.Rating{}
	for _, r := range s.ratings {
		if r.at.After(known) || len(page) == ratingsPage {
			break
		}
		if r.Sequence > after {
			page = append(page, r.Rating)
		}
	}
	return page
}
