// Package node joins the decision core's parts into one router's control
// state: typed events and the time go in, typed effects come out, and the same
// input always gives the same output.
package node
