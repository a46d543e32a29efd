// Package fair is the command that tells from the logs of all routers how evenly
// teams were served: what each asked for and got beside the best served.
package fair
