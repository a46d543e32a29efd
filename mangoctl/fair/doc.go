// Package fair implements "mangoctl fair", which computes from the logs of all
// routers how evenly teams were served: it compares the demand and throughput of
// each team with those of the best served team.
package fair
