// Package even decides how load is distributed evenly among the servers of a service by information that is slightly old.
package even
