package entry

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/bronzeturn/bronzeturn/quarantine"
)

// newCrashDetector returns what tells engines that ended from connections that broke.
func newCrashDetector(d *Daemon) *quarantine.Detector {
	dial := engineDial.Dialer()
	ended := promauto.With(d.registry).NewCounterVec(prometheus.CounterOpts{
		Name: "bronzeturn_entry_engines_ended_total", Help: "Engines that ended while they worked on requests of this daemon, by how that was found.",
	}, []string{"cause"})
	return quarantine.NewDetector(quarantine.DetectorOptions{
		Dial: func(ctx context.Context, address string) error {
			conn, err := dial(ctx, "tcp", address)
			if err != nil {
				return err
			}
			return conn.Close()
		},
		Ended: func(end quarantine.End) { ended.WithLabelValues(string(end.Cause)).Inc() },
		Log:   d.part("crashes"),
	})
}
