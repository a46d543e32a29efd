// Command bulletin stands in for the platform's read-only configuration service and
// its lagging list of VMs.
package main
