// Command rig plays the script cases of the third review. It starts routers of the users' program and small engines as processes, serves the platform's
// store and plays the clients itself.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case couldn't run
)

// cases are the script cases by their folder's name.
var cases = map[string]func(*rig) (broken bool, err error){
	"11": extraRejections,
	"12": sameAddresses,
	"13": joinedVersions,
	"14": hugeLimit,
	"15": streamsRefused,
	// Not a case of its own:
	"options": unsignedOptions,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		os.Exit(engineMain(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(do func(*rig) (bool, error), folder string) int {
	r, err := newRig(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer r.close()
	broken, err := do(r)
	switch {
	case err != nil:
		r.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	case broken:
		r.note("result: the rule was broken")
		return exitBroken
	}
	r.note("result: the rule held")
	return exitHeld
}
