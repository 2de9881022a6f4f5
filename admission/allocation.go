package admission

import "time"

// fleetView is what a coordinator knows of the fleet.
type fleetView struct {
	live      int                    // daemons that the host list shows live
	reachable int                    // those that this daemon hears
	isLive    func(name string) bool // whether a daemon may still admit
}

// grant is a share that was handed out. Its spend is an absolute sum.
type grant struct {
	amounts  amounts
	sequence uint64
	expires  time.Time
}

// holder is what a coordinator knows of one daemon.
type holder struct {
	incarnation uint64
	wanted      amounts
	inUse       float64
	grants      []grant       // that may still be in use, oldest first
	validity    time.Duration // of the newest grant
	heard       time.Time
	idle        bool
	spent       float64 // as reported by this process
	// unproven is what the daemon may use that this coordinator did not grant,
	// as of its last report: a share of an earlier coordinator, or none.
	unproven amounts
	// equalSpend is what it may spend without a share, beyond spent.
	equalSpend float64
	report     uint64 // number of its last report
}

// allocation is the division of one organisation's limit. It is a pure state
// machine; the caller holds the lock.
type allocation struct {
	id        uint64 // of the coordinator
	since     time.Time
	limit     amounts
	day       int64
	spendBase float64 // spend that earlier coordinators counted
	spendMore float64 // spend reported since
	holders   map[string]*holder
	proven    amounts // what daemons used when they first reported here
	sequence  uint64
	refreshed time.Time
	levels    amounts // water levels of the wants
	rest      amounts // what the wants leave
	out       amounts // sum of what is handed out or set aside
	active    int
	near      bool
}

func newAllocation(id uint64, now time.Time, limit amounts) *allocation {
	return &allocation{id: id, since: now, limit: limit, day: dayOf(now), holders: make(map[string]*holder)}
}

// usage is a daemon's report for one organisation. Held and wanted spend is
// counted beyond spent.
type usage struct {
	daemon      string
	incarnation uint64
	coordinator uint64
	sequence    uint64
	held        amounts
	wanted      amounts
	inUse       float64
	day         int64
	spent       float64
	told        float64
	fleetSpent  float64
	idle        bool
	report      uint64
}

// grantResult answers a report. The spend of amounts counts beyond the spent of
// the report.
type grantResult struct {
	amounts    amounts
	sequence   uint64
	day        int64
	fleetSpent float64
	period     time.Duration
	validity   time.Duration
}
