// Faults forwards TCP connections and brings about network faults on them, by
// link and by source address.
package main
