package proof

import (
	"crypto/rand"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"mangolug.org/stage/local"
)

// A listed router without the fleet's secret stays outside: it is not live to any other, and the others go on.
func TestStrangerStaysOutside(t *testing.T) {
	f := start(t, settings(local.Chenab()))
	stranger := f.Routers[2]
	must(t, stranger.Kill())
	args := slices.Clone(stranger.Args)
	args[slices.Index(args, "--secret")+1] = "not-the-secret-of-this-fleet"
	intruder := &local.Process{Name: "stranger", Path: stranger.Path, Args: args, Log: stranger.Log}
	must(t, intruder.Start())
	t.Cleanup(func() { _ = intruder.Kill() })
	members := f.Routers[:2]
	within(t, 5*time.Second, func() error { return liveAt(members, stranger.Name, false) })
	l := startLoad(t, part(f, members...), 4, 4, 8)
	elapse(t, 2*time.Second)
	l.waitFor(t, 10*time.Second, 20, answered)
	must(t, liveAt(members, stranger.Name, false))
	if !intruder.Running() {
		t.Error("the stranger has ended, so nothing was shown")
	}
	check(t, f, l.stop())
}

// liveAt gives an error unless all members regard a router as live, or as not live.
func liveAt(members []*local.Router, name string, want bool) error {
	for _, r := range members {
		status, err := r.Status()
		if err != nil {
			return err
		}
		for _, p := range status.Peers {
			if p.Name == name && p.Live != want {
				return fmt.Errorf("%s regards %s as live: %v", r.Name, name, p.Live)
			}
		}
	}
	return nil
}

// Bytes of no protocol at the peer and caller addresses harm nothing.
func TestNoiseIsHarmless(t *testing.T) {
	f := start(t, settings(local.Carraig()))
	noise := make([]byte, 64<<10)
	_, _ = rand.Read(noise)
	for _, r := range f.Routers {
		for _, address := range []string{r.PeerListen, r.Listen} {
			c, err := net.DialTimeout("tcp", address, time.Second)
			must(t, err)
			_ = c.SetDeadline(time.Now().Add(time.Second))
			_, _ = c.Write(noise)
			_ = c.Close()
		}
	}
	settled(t, f)
	l := startLoad(t, f, 3, 3, 8)
	l.waitFor(t, 10*time.Second, 20, answered)
	check(t, f, l.stop())
	for _, r := range f.Routers {
		if !r.Running() {
			t.Errorf("%s has ended", r.Name)
		}
	}
}

// The fleet's secret is replaced while callers are served: each router takes the new one beside the old,
// then before it, then alone.
func TestSecretIsReplacedUnderLoad(t *testing.T) {
	s := settings(local.Chenab())
	s.Routers = 2
	f := start(t, s)
	l := startLoad(t, f, 6, 0, 20)
	old := f.Routers[0].Args[slices.Index(f.Routers[0].Args, "--secret")+1]
	const replacement = "the-secret-that-follows"
	for _, secrets := range [][]string{{old, replacement}, {replacement, old}, {replacement}} {
		for _, r := range f.Routers {
			_, err := r.Stop(stopLimit)
			must(t, err)
			r.Args = withSecrets(r.Args, secrets...)
			must(t, r.Start())
			must(t, f.WaitReady(readyLimit))
		}
	}
	l.waitFor(t, 10*time.Second, 20, answered)
	results := l.stop()
	check(t, f, results)
	for _, r := range results {
		if ending(r) != "answered" && !avoidable(r) {
			t.Errorf("a caller of %s saw %s: %s %v", r.call.router.Name, ending(r), r.answer.body, r.answer.broken)
		}
	}
}

// withSecrets gives a router's arguments with other secrets.
func withSecrets(args []string, secrets ...string) []string {
	var changed []string
	for n := 0; n < len(args); n++ {
		if args[n] == "--secret" {
			n++
			continue
		}
		changed = append(changed, args[n])
	}
	for _, s := range secrets {
		changed = append(changed, "--secret", s)
	}
	return changed
}
