// Package replay implements "mangoctl replay", which replays a recorded trace
// through the decision core and compares the effects with the recorded ones.
package replay
