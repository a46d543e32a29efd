package loop

import (
	"time"

	"mangolug.org/core/conf"
	"mangolug.org/core/fleet"
	"mangolug.org/router/wire"
)

// Offer takes a version of the rule file from the platform.
func (l *Loop) Offer(version uint64, text []byte) {
	l.post(event{offer: &offer{version: version, text: text}})
}

// List takes the platform's list of VMs.
func (l *Loop) List(vms []fleet.VM) {
	l.post(event{list: &list{vms: vms}})
}

// Asked takes the news that the platform was asked for the rules and has answered or failed to.
func (l *Loop) Asked() {
	l.post(event{asked: &asked{}})
}

// Newest gives the highest version already decided here.
func (l *Loop) Newest() uint64 { return l.newest.Load() }

func (l *Loop) takeOffer(now time.Duration, version uint64, text []byte, from string) {
	result := l.keeper.Offer(now, version, text, from)
	l.counter("config." + result.String()).Inc(1)
	l.newest.Store(l.keeper.Newest())
	switch result {
	case conf.ResultAccepted:
		l.current.Store(l.keeper.Current())
		l.members.ConfigVersion = version
		l.configureCells(now)
		if l.Log != nil {
			l.Log.Info("configuration in force", "version", version, "from", from)
		}
	case conf.ResultRefused:
		if l.Log != nil {
			_, why := l.keeper.Refused()
			l.Log.Warn("configuration refused", "version", version, "from", from, "error", why)
		}
	}
}

// settle makes the router ready once it has asked platform and peers for the newest configuration.
func (l *Loop) settle(now time.Duration) {
	if l.settled || len(l.listed) == 0 || !l.keeper.Settled(now, l.listedNames()) {
		return
	}
	l.settled = true
	l.ready.Store(int32(fleet.ReasonNone))
	if l.Log != nil {
		l.Log.Info("ready", "router", l.Self, "version", l.current.Load().Version)
	}
}

// listedNames gives all listed routers: those not yet heard may have a newer configuration than the platform tells.
func (l *Loop) listedNames() []string {
	names := make([]string, 0, len(l.listed))
	for name := range l.listed {
		names = append(names, name)
	}
	return names
}

// askConfig asks a peer for a newer version that it was heard to have.
func (l *Loop) askConfig(now time.Duration) {
	peer, _, wanted := l.keeper.Want(now)
	if !wanted {
		return
	}
	after := uint64(0)
	if c := l.current.Load(); c != nil {
		after = c.Version
	}
	l.send(now, peer, &wire.Message{ConfigAsk: &fleet.ConfigAsk{After: after}})
}

func (l *Loop) answerConfig(now time.Duration, to string, after uint64) {
	if c := l.current.Load(); c != nil && c.Version > after {
		l.send(now, to, &wire.Message{ConfigText: &fleet.ConfigText{Version: c.Version, Text: c.Text}})
	}
}
