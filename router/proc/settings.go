package proc

import (
	"fmt"
	"net"
	"time"
)

// Settings of a process; Check tells what is wrong with them.
type Settings struct {
	Name       string
	DataCentre string
	Front      string        // ip:port for callers
	Ready      string        // ip:port at which the balancer asks
	Control    string        // ip:port for other routers and for operators
	Metrics    string        // ip:port for scrapers; empty for none
	Seeds      []string      // ip:port of other routers' Control, to find the fleet
	Grace      time.Duration // from the signal to stop to the kill
	Memory     int64         // bytes that the process may use; 0 for no limit
	Files      int           // descriptors that the process may have open; 0 for no limit
	Ratio      float64       // of requests that the fleet may send again
	Slack      float64       // requests that the fleet may send again besides, in ten seconds
}

// SettingError says which setting is wrong and what would be right.
type SettingError struct {
	Setting, Value, Want string
}

// Error names the setting, its value and what would be right.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s is %q: want %s", e.Setting, e.Value, e.Want)
}

// Check gives a *SettingError for the first setting that can't be used.
func (s *Settings) Check() error {
	names := []struct{ setting, value string }{{"name", s.Name}, {"data centre", s.DataCentre}}
	for _, n := range names {
		if n.value == "" {
			return &SettingError{n.setting, "", "a name"}
		}
	}
	addresses := []struct {
		setting, value string
		optional       bool
	}{
		{setting: "front address", value: s.Front},
		{setting: "readiness address", value: s.Ready},
		{setting: "control address", value: s.Control, optional: true},
		{setting: "metrics address", value: s.Metrics, optional: true},
	}
	for _, seed := range s.Seeds {
		addresses = append(addresses, struct {
			setting, value string
			optional       bool
		}{setting: "seed", value: seed})
	}
	for _, a := range addresses {
		if a.optional && a.value == "" {
			continue
		}
		host, port, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(host) == nil || port == "" {
			return &SettingError{a.setting, a.value, "ip:port, as in 10.0.0.5:8080"}
		}
	}
	if s.Grace <= 0 {
		return &SettingError{"grace", s.Grace.String(), "a time above 0"}
	}
	if s.Memory < 0 {
		return &SettingError{"memory", fmt.Sprint(s.Memory), "0 or a number of bytes"}
	}
	if s.Files < 0 {
		return &SettingError{"descriptors", fmt.Sprint(s.Files), "0 or a number of descriptors"}
	}
	return nil
}
