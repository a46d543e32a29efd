// Package works gives the loads that both users of mangolug put on a fleet.
package works
