package wire

import "mangolug.org/core/fleet"

func encodeHeartbeat(h *fleet.Heartbeat) *Heartbeat {
	return &Heartbeat{
		View: h.View, ViewAge: h.ViewAge, ConfigVersion: h.ConfigVersion, Draining: h.Draining, ViewSeq: h.ViewSeq,
	}
}

func decodeHeartbeat(h *Heartbeat, c *checker) *fleet.Heartbeat {
	c.items("view", len(h.GetView()))
	return &fleet.Heartbeat{
		View: h.GetView(), ViewAge: c.count("viewAge", h.GetViewAge()), ConfigVersion: h.GetConfigVersion(),
		Draining: h.GetDraining(), ViewSeq: h.GetViewSeq(),
	}
}

// relativeGrant returns the ID of a grant relative to the first one of a term; for grants of that term it is a small number.
func relativeGrant(grant, term uint64) int64 { return int64(grant - term<<fleet.TermShift) }

// absoluteGrant returns the ID of a grant; it is the inverse of relativeGrant.
func absoluteGrant(grant int64, term uint64) uint64 { return uint64(grant) + term<<fleet.TermShift }

func encodeCell(c fleet.Cell) *Cell { return &Cell{Product: c.Product, Part: int64(c.Part)} }

func decodeCell(w *Cell, c *checker) fleet.Cell {
	return fleet.Cell{Product: c.name("product", w.GetProduct()), Part: int(c.count("part", w.GetPart()))}
}

func encodeDemand(d *fleet.Demand) *Demand {
	w := &Demand{Cell: encodeCell(d.Cell), Seq: d.Seq, Full: d.Full, SeenTerm: d.SeenTerm, Seen: relativeGrant(d.Seen, d.SeenTerm)}
	for _, t := range d.Waiting {
		w.Waiting = append(w.Waiting, &TeamDemand{
			Team: t.Team, Waiting: int64(t.Waiting), Estimate: t.Estimate, OldestWait: t.OldestWait, Prefix: t.Prefix,
		})
	}
	for _, o := range d.Done {
		w.Done = append(w.Done, &Done{
			Grant: relativeGrant(o.Grant, d.SeenTerm), Outcome: int64(o.Outcome), Cost: o.Cost, FirstByte: o.FirstByte, Service: o.Service,
		})
	}
	for _, r := range d.Running {
		w.Running = append(w.Running, &Running{Grant: relativeGrant(r.Grant, d.SeenTerm), Team: r.Team, Server: r.Server, Cost: r.Cost})
	}
	w.Limits = encodeLimits(d.Limits)
	return w
}

func decodeDemand(w *Demand, c *checker) *fleet.Demand {
	c.items("waiting", len(w.GetWaiting()))
	c.items("done", len(w.GetDone()))
	c.items("running", len(w.GetRunning()))
	d := &fleet.Demand{
		Cell: decodeCell(w.GetCell(), c), Seq: w.GetSeq(), Full: w.GetFull(), SeenTerm: w.GetSeenTerm(), Seen: absoluteGrant(w.GetSeen(), w.GetSeenTerm()),
	}
	for _, t := range w.GetWaiting() {
		d.Waiting = append(d.Waiting, fleet.TeamDemand{
			Team: c.name("team", t.GetTeam()), Waiting: int(c.count("waiting", t.GetWaiting())),
			Estimate: c.count("estimate", t.GetEstimate()), OldestWait: c.count("oldestWait", t.GetOldestWait()),
			Prefix: t.GetPrefix(),
		})
	}
	for _, o := range w.GetDone() {
		d.Done = append(d.Done, fleet.Done{
			Grant: absoluteGrant(o.GetGrant(), w.GetSeenTerm()), Outcome: fleet.Outcome(c.enum("outcome", o.GetOutcome(), int64(fleet.OutcomeUnreached))),
			Cost: c.count("cost", o.GetCost()), FirstByte: c.count("firstByte", o.GetFirstByte()),
			Service: c.count("service", o.GetService()),
		})
	}
	for _, r := range w.GetRunning() {
		d.Running = append(d.Running, fleet.Running{
			Grant: absoluteGrant(r.GetGrant(), w.GetSeenTerm()), Team: c.optionalName("team", r.GetTeam()),
			Server: c.optionalName("server", r.GetServer()), Cost: c.count("cost", r.GetCost()),
		})
	}
	d.Limits = decodeLimits(w.GetLimits(), c)
	return d
}

func encodeGrants(g *fleet.Grants) *Grants {
	w := &Grants{Cell: encodeCell(g.Cell), Term: g.Term, Basis: g.Basis, TellAll: g.TellAll}
	for _, o := range g.Grants {
		w.Grants = append(w.Grants, &Grant{Id: relativeGrant(o.ID, g.Term), Team: o.Team, Server: o.Server, Address: o.Address, Fencing: o.Fencing})
	}
	w.Limits = encodeLimits(g.Limits)
	return w
}

func decodeGrants(w *Grants, c *checker) *fleet.Grants {
	c.items("grants", len(w.GetGrants()))
	g := &fleet.Grants{Cell: decodeCell(w.GetCell(), c), Term: w.GetTerm(), Basis: w.GetBasis(), TellAll: w.GetTellAll()}
	for _, o := range w.GetGrants() {
		g.Grants = append(g.Grants, fleet.Grant{
			ID: absoluteGrant(o.GetId(), w.GetTerm()), Team: c.name("team", o.GetTeam()), Server: c.name("server", o.GetServer()),
			Address: c.name("address", o.GetAddress()), Fencing: o.GetFencing(),
		})
	}
	g.Limits = decodeLimits(w.GetLimits(), c)
	return g
}

func encodeLimits(l *fleet.Limits) *Limits {
	if l == nil {
		return nil
	}
	w := &Limits{Term: l.Term, Version: l.Version, Since: l.Since}
	for _, s := range l.Servers {
		w.Servers = append(w.Servers, &ServerLimit{Server: s.Server, Epoch: s.Epoch, Limit: int64(s.Limit)})
	}
	return w
}

func decodeLimits(w *Limits, c *checker) *fleet.Limits {
	if w == nil {
		return nil
	}
	c.items("limits", len(w.GetServers()))
	l := &fleet.Limits{Term: w.GetTerm(), Version: w.GetVersion(), Since: w.GetSince()}
	for _, s := range w.GetServers() {
		l.Servers = append(l.Servers, fleet.ServerLimit{
			Server: c.name("server", s.GetServer()), Epoch: s.GetEpoch(), Limit: int(c.count("limit", s.GetLimit())),
		})
	}
	return l
}

func encodeAnswer(a fleet.Answer) *Answer {
	if a.Status == 0 {
		return nil
	}
	return &Answer{Status: int64(a.Status), ContentType: a.ContentType, Body: a.Body, Truncated: a.Truncated}
}

func decodeAnswer(w *Answer, c *checker) fleet.Answer {
	return fleet.Answer{
		Status: int(c.enum("status", w.GetStatus(), 999)), ContentType: w.GetContentType(),
		Body: w.GetBody(), Truncated: w.GetTruncated(),
	}
}
