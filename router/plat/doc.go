// Package plat reads the platform's configuration service and its list of VMs;
// it never writes.
package plat
