package entry

import "github.com/bronzeturn/bronzeturn/backpressure"

// newLimits returns the request limits that engines state in their answers.
func newLimits(d *Daemon) *backpressure.Limits {
	return backpressure.NewLimits(backpressure.Options{
		Daemons: d.sharingDaemons, Random: d.rand(randLimits), Log: d.logger("backpressure"), Registerer: d.registry,
	})
}

// isUsed reports whether an engine may get requests.
func (d *Daemon) isUsed(engine string) bool {
	_, used := d.engines.View().Engine(engine)
	return used
}
