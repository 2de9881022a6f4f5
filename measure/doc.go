// Package measure evaluates the decision code of the router in a discrete-event
// simulation with simple models of engines, ratings and prices. It compares the
// router with baselines and an oracle under the same seeded workload.
//
// It does not simulate a cluster: there is no network, no store and no membership.
// Six daemons decide with the real packages selection, quality, rollout, cascade,
// admission, balance, hedge and retry. They share one store of ratings, which
// stands for the exchange of ratings that takes about a second between real
// daemons. Load reports and feedback from engines are separate for each daemon.
package measure
