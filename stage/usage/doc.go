// Package usage reads what the processes that this one started have used.
package usage
