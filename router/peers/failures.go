package peers

import (
	"strings"

	"google.golang.org/grpc/status"
)

// Failures returns, for each peer without an open stream, why the last attempt failed.
func (l *Links) Failures() map[string]string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	failures := map[string]string{}
	for peer, o := range l.links {
		if o.failure != "" {
			failures[peer] = o.failure
		}
	}
	return failures
}

// setFailure records why no stream is open and reports whether the reason has changed; an empty reason means that one is open.
func (l *Links) setFailure(o *outgoingLink, why string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	changed := o.failure != why
	o.failure = why
	return changed
}

// recordLoss counts a lost link and logs it. An attempt that fails for the same reason as the one before it is logged at debug level.
func (l *Links) recordLoss(o *outgoingLink, err error) {
	l.counter("peers.linkLost").Inc(1)
	changed := l.setFailure(o, cause(err))
	if l.Log == nil {
		return
	}
	logAt := l.Log.Debug
	if changed {
		logAt = l.Log.Warn
	}
	logAt("link lost", "peer", o.peer, "address", o.address, "error", err)
}

// cause returns the innermost part of an error's text. It omits the addresses before it, which differ between attempts,
// and the possible reasons that follow in parentheses.
func cause(err error) string {
	text, _, _ := strings.Cut(status.Convert(err).Message(), " (")
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return strings.Trim(text, `"`)
}
