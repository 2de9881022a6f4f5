// Package measure runs the decision code of the router against a small fake of
// engines, raters and prices in virtual time, beside baselines and an oracle
// on the same seeded work.
//
// It is no simulator of a cluster: there is no network, no store and no
// membership. Six daemons decide with the real packages selection, quality,
// rollout, cascade, admission, balance, hedge and retry. They share one store
// of ratings, as daemons do after a second of exchange; load reports and engine
// feedback are each daemon's own.
package measure
