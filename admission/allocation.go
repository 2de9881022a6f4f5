package admission

import "time"

// fleetView is a coordinator's view of the fleet.
type fleetView struct {
	live      int                    // live daemons by the host list
	reachable int                    // live daemons that this one can reach
	isLive    func(name string) bool // whether a daemon may still admit requests
}

// grant is a share that was granted to a daemon. Its spend is the total that the
// daemon's spend may reach on the day.
type grant struct {
	amounts  amounts
	sequence uint64
	expires  time.Time
}

// daemonState is a coordinator's state for one daemon.
type daemonState struct {
	incarnation uint64
	wanted      amounts
	inUse       float64
	grants      []grant       // those that may still be in use, oldest first
	validity    time.Duration // of the newest grant
	reportedAt  time.Time
	idle        bool
	spent       float64 // as reported by this process
	// ungranted is what the daemon may use that this coordinator did not grant,
	// as of its last report: a share of an earlier coordinator, or the equal part
	// of a daemon without a share.
	ungranted amounts
	// equalSpend is what the daemon may spend without a share, in addition to
	// spent.
	equalSpend float64
	report     uint64 // sequence number of its last report
}

// allocation divides one organisation's limit among the daemons. It does no I/O
// and takes no lock; the caller holds the lock of its shard.
type allocation struct {
	id            uint64 // of the coordinator
	created       time.Time
	limit         amounts
	day           int64
	earlierSpend  float64 // spend that earlier coordinators counted
	reportedSpend float64 // spend reported to this coordinator in addition
	daemons       map[string]*daemonState
	initialUse    amounts // sum of ungranted over the first reports of the daemons
	sequence      uint64
	refreshed     time.Time
	levels        amounts // max-min fair levels of the wanted amounts
	surplus       amounts // budget left when all wants are met
	committed     amounts // sum over all daemons of what each may be using
	active        int
	highUse       bool
}

func newAllocation(id uint64, now time.Time, limit amounts) *allocation {
	return &allocation{id: id, created: now, limit: limit, day: dayOf(now), daemons: make(map[string]*daemonState)}
}

// usage is a daemon's report for one organisation. Spend in held and wanted is in
// addition to spent.
type usage struct {
	daemon       string
	incarnation  uint64
	coordinator  uint64
	sequence     uint64
	held         amounts
	wanted       amounts
	inUse        float64
	day          int64
	spent        float64
	acknowledged float64
	fleetSpent   float64
	idle         bool
	report       uint64
}

// grantResult is the answer to a report. Spend in amounts is in addition to the
// spent of the report.
type grantResult struct {
	amounts    amounts
	sequence   uint64
	day        int64
	fleetSpent float64
	period     time.Duration
	validity   time.Duration
}
