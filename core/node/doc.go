// Package node combines the parts of the decision core into the control state of one router. Its input is typed
// events and the time, its output typed effects; the same input always produces the same output.
package node
