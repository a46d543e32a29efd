package world

import (
	"testing"
	"time"
)

const (
	routers = 9
	servers = 9
	day     = 20 * time.Second
)

func play(p Pattern) Result {
	p.Duration = day
	if p.Teams == 0 {
		p.Teams = 16
	}
	return Run(p, Kinds(), DefaultEngine(), routers, servers, 1)
}

func times(x float64) func(time.Duration, string) float64 {
	return func(time.Duration, string) float64 { return x }
}
func TestTmp(t *testing.T) {
	for name, p := range map[string]Pattern{
		"calm": {}, "x1.5": {Factor: times(1.5)}, "x2": {Factor: times(2)}, "hotkey": {HotKey: 0.28}, "hotteam": {HotTeam: 0.6, Factor: times(2)}, "skew": {Skew: 0.5},
		"lost": {Lose: map[int]time.Duration{0: 5 * time.Second, 1: 5 * time.Second}},
	} {
		b := time.Now()
		t.Logf("%s %+v %v", name, play(p), time.Since(b))
	}
}
