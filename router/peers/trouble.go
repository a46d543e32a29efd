package peers

import (
	"strings"

	"google.golang.org/grpc/status"
)

// Troubles gives, for each peer without an open stream, why the last try failed.
func (l *Links) Troubles() map[string]string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := map[string]string{}
	for peer, o := range l.links {
		if o.trouble != "" {
			list[peer] = o.trouble
		}
	}
	return list
}

// setTrouble notes why no stream is open; it says whether that is news.
func (l *Links) setTrouble(o *outlink, why string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	news := o.trouble != why
	o.trouble = why
	return news
}

// lost counts a lost link and logs it; tries that fail as the one before them are logged at level debug.
func (l *Links) lost(o *outlink, err error) {
	l.counter("peers.linkLost").Inc(1)
	news := l.setTrouble(o, cause(err))
	if l.Log == nil {
		return
	}
	write := l.Log.Debug
	if news {
		write = l.Log.Warn
	}
	write("link lost", "peer", o.peer, "address", o.address, "error", err)
}

// cause gives the innermost part of an error's text, without the addresses around it, which differ at each try,
// and without the guesses that follow it in brackets.
func cause(err error) string {
	text, _, _ := strings.Cut(status.Convert(err).Message(), " (")
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return strings.Trim(text, `"`)
}
