// Package plan holds what a load run is to do: who asks, for what, how often and where.
package plan
