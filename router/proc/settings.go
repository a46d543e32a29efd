package proc

import (
	"fmt"
	"net"
	"time"
)

// Settings configures a Process; Check validates it.
type Settings struct {
	Name       string
	DataCentre string
	Front      string        // ip:port for callers
	Readiness  string        // ip:port of the balancer's readiness probes
	Control    string        // ip:port for other routers and for operators
	Metrics    string        // ip:port for scrapers; empty for none
	Seeds      []string      // ip:port of other routers' Control, to find the fleet
	Grace      time.Duration // grace period from the signal to stop to the kill
	Memory     int64         // bytes that the process may use; 0 for no limit
	Files      int           // file descriptors that the process may have open; 0 for no limit
	RetryRatio float64       // retry budget of the fleet as a fraction of its requests
	RetrySlack float64       // retries per ten seconds that the fleet may make in addition
}

// SettingError reports a setting with an invalid value.
type SettingError struct {
	Setting, Value, Want string
}

// Error returns the setting, its value and the expected value.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s is %q: want %s", e.Setting, e.Value, e.Want)
}

// Check returns a *SettingError for the first invalid setting.
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
		{setting: "readiness address", value: s.Readiness},
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
