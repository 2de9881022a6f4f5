package bronzeturn

import (
	"github.com/KimMachineGun/automemlimit/memlimit"
	"golang.org/x/sys/unix"

	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/overload"
	"github.com/bronzeturn/bronzeturn/process"
)

// newClients returns the bounds on what clients hold. It sets the runtime's memory limit.
func newClients(d *Daemon) *overload.Guard {
	o := overload.Options{
		MemoryBytes: memoryBytes(d.settings.GetMemoryBytes()), Descriptors: descriptors(int(d.settings.GetMaxDescriptors())),
		Log: logging.Part(d.log, "clients"), Registerer: d.options.Registry,
	}
	process.LimitMemory(o.MemoryBytes)
	return overload.New(o)
}

// memoryBytes returns the memory that the process may use: what the settings say, or else the limit
// of its cgroup, or else the memory of the host. It returns 0 if none is known.
func memoryBytes(set int64) int64 {
	if set > 0 {
		return set
	}
	bytes, err := memlimit.ApplyFallback(memlimit.FromCgroup, memlimit.FromSystem)()
	if err != nil {
		return 0
	}
	return int64(bytes)
}

// descriptors returns the number of descriptors that the process may use: what the settings say, or
// else the limit of the process. It returns 0 if none is known.
func descriptors(set int) int {
	var limit unix.Rlimit
	if set > 0 || unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return set
	}
	return int(min(limit.Cur, maxDescriptors))
}

// maxDescriptors bounds a process limit of practically no limit.
const maxDescriptors = 1 << 20
