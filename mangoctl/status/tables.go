package status

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/limit"
	"mangolug.org/core/report"
	"mangolug.org/mangoctl/admin"
	"mangolug.org/mangoctl/table"
)

func tables(answers []admin.Status) []*table.Table {
	return []*table.Table{
		routers(answers), peers(answers), dataCentres(answers), cells(answers), servers(answers), teams(answers), rooms(answers),
	}
}

func routers(answers []admin.Status) *table.Table {
	t := &table.Table{Kind: "router", Title: "routers", Header: []string{"ROUTER", "DATA CENTRE", "STATE", "CONFIG", "PEERS LIVE", "UP", "CONTROL BYTES"}}
	for _, a := range answers {
		s := a.Status
		live := 0
		for _, p := range s.Peers {
			if p.Live {
				live++
			}
		}
		t.Add(s.Router, s.DataCentre, state(s.Ready, s.Draining), strconv.FormatUint(s.ConfigVersion, 10),
			fmt.Sprintf("%d/%d", live, len(s.Peers)), millis(s.UptimeMillis).String(), strconv.FormatInt(s.ControlBytes, 10))
	}
	return t
}

func state(ready, draining bool) string {
	switch {
	case draining:
		return "draining"
	case ready:
		return "ready"
	default:
		return "notReady"
	}
}

// peers lists the peers that a queried router has lost, that are draining or lack a link to it, or whose configuration version differs.
// If only one router answered, it lists all peers of that router.
func peers(answers []admin.Status) *table.Table {
	t := &table.Table{Kind: "peer", Title: "peers lost or behind", Header: []string{"SEEN BY", "PEER", "DATA CENTRE", "STATE", "SILENT", "CONFIG", "LINK"}}
	for _, a := range answers {
		for _, p := range a.Status.Peers {
			if len(answers) > 1 && p.Live && !p.Draining && p.Link == "" && p.ConfigVersion == a.Status.ConfigVersion {
				continue
			}
			state := "lost"
			if p.Live {
				state = "live"
			}
			if p.Draining {
				state = "draining"
			}
			t.Add(a.Status.Router, p.Name, p.DataCentre, state, millis(p.SilentMillis).String(), strconv.FormatUint(p.ConfigVersion, 10), link(p))
		}
	}
	return t
}

// link returns why there is no stream to a peer, or a dash if there is one.
func link(p report.Peer) string {
	if p.Link == "" {
		return "-"
	}
	return p.Link
}

// dataCentres lists each data centre once, with the number of queried routers that have it in service.
func dataCentres(answers []admin.Status) *table.Table {
	t := &table.Table{Kind: "dataCentre", Title: "data centres", Header: []string{"DATA CENTRE", "SERVICE", "IN SERVICE AT"}}
	in, known := map[string]int{}, map[string]int{}
	for _, a := range answers {
		for _, d := range a.Status.DataCentres {
			known[d.Name]++
			if d.InService {
				in[d.Name]++
			}
		}
	}
	for _, name := range sorted(known) {
		service := "in"
		switch {
		case in[name] == 0:
			service = "out"
		case in[name] < known[name]:
			service = "changing"
		}
		t.Add(name, service, fmt.Sprintf("%d/%d", in[name], known[name]))
	}
	return t
}

// cells lists the scheduler of each cell, and how many of the listed routers lend it their part of the servers' limits.
func cells(answers []admin.Status) *table.Table {
	t := &table.Table{Kind: "cell", Title: "cells", Header: []string{"CELL", "SCHEDULER", "TERM", "LENDERS", "SERVERS", "WAITING", "RUNNING"}}
	for _, a := range answers {
		for _, c := range a.Status.Cells {
			waiting, running := 0, 0
			for _, v := range c.Teams {
				waiting, running = waiting+v.Waiting, running+v.Running
			}
			t.Add(c.Cell, a.Status.Router, strconv.FormatUint(c.Term, 10), fmt.Sprintf("%d/%d", c.Lenders, c.Listed),
				strconv.Itoa(len(c.Servers)), strconv.Itoa(waiting), strconv.Itoa(running))
		}
	}
	sortRows(t)
	return t
}

func servers(answers []admin.Status) *table.Table {
	t := &table.Table{Kind: "server", Title: "backend servers", Header: []string{"BACKEND SERVER", "CELL", "DATA CENTRE", "SCHEDULER", "RUNNING", "FOREIGN", "USABLE", "LEARNT", "LIMIT", "HELD", "LOWERED"}}
	for _, a := range answers {
		for _, c := range a.Status.Cells {
			for _, v := range c.Servers {
				t.Add(v.Name, c.Cell, v.DataCentre, a.Status.Router, strconv.Itoa(v.Running), strconv.Itoa(v.Foreign),
					strconv.Itoa(v.Usable), strconv.Itoa(v.Learnt), strconv.Itoa(v.Ceiling), heldReason(c, v), lowered(v))
			}
		}
	}
	sortRows(t)
	return t
}

func teams(answers []admin.Status) *table.Table {
	t := &table.Table{Kind: "team", Title: "teams", Header: []string{"TEAM", "CELL", "SHARE", "WAITING", "RUNNING", "SERVICE", "LEVEL"}}
	for _, a := range answers {
		for _, c := range a.Status.Cells {
			for _, v := range c.Teams {
				t.Add(v.Name, c.Cell, strconv.Itoa(v.Share), strconv.Itoa(v.Waiting), strconv.Itoa(v.Running),
					strconv.FormatInt(v.Service, 10), strconv.FormatFloat(v.Level, 'f', 1, 64))
			}
		}
	}
	sortRows(t)
	return t
}

func rooms(answers []admin.Status) *table.Table {
	t := &table.Table{Kind: "room", Title: "waiting rooms", Header: []string{"TEAM", "PRODUCT", "ROUTER", "WAITING", "RUNNING", "OLDEST", "SCHEDULER", "WHY"}}
	for _, a := range answers {
		for _, r := range a.Status.Rooms {
			t.Add(r.Team, r.Product, a.Status.Router, strconv.Itoa(r.Waiting), strconv.Itoa(r.Running),
				millis(r.OldestWaitMillis).String(), r.Scheduler, reasonOrDash(r.Why))
		}
	}
	sortRows(t)
	return t
}

// heldReason returns why a server is given no requests. A server with no usable slots is full without a request of this scheduler:
// either it carries load that no grant accounts for ("foreign"), or too few routers lend to the scheduler for it to have a part of the limit ("noPart").
func heldReason(c report.Cell, v report.Server) string {
	if v.Held != fleet.ReasonHeld || v.Usable > 0 {
		return reasonOrDash(v.Held)
	}
	switch {
	case v.Foreign > 0:
		return "foreign"
	case c.Lenders < c.Listed:
		return "noPart"
	}
	return reasonOrDash(v.Held)
}

// lowered describes why, by how much and how long ago a server's learnt limit was last lowered.
func lowered(v report.Server) string {
	if v.Lowered == limit.CauseNone {
		return "-"
	}
	ago := millis(v.LoweredMillis).Truncate(time.Second)
	return fmt.Sprintf("%v %d to %d, %v ago", v.Lowered, v.LoweredFrom, v.LoweredTo, ago)
}

func reasonOrDash(r fleet.Reason) string {
	if r == fleet.ReasonNone {
		return "-"
	}
	return r.String()
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func sorted(names map[string]int) []string {
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

func sortRows(t *table.Table) {
	sort.SliceStable(t.Rows, func(i, j int) bool { return t.Rows[i][0] < t.Rows[j][0] })
}
