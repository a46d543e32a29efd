// Package plat is a read-only client of the platform's configuration service and
// its list of VMs.
package plat
