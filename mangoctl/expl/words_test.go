package expl

import (
	"testing"

	"mangolug.org/core/fleet"
)

func TestEveryReasonIsDescribed(t *testing.T) {
	for r := fleet.ReasonNone; r <= fleet.ReasonServersRest; r++ {
		if _, ok := descriptions[r]; !ok {
			t.Errorf("reason %v has no description", r)
		}
	}
}
