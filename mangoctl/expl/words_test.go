package expl

import (
	"testing"

	"mangolug.org/core/fleet"
)

func TestEveryReasonHasWords(t *testing.T) {
	for r := fleet.ReasonNone; r <= fleet.ReasonServersRest; r++ {
		if _, ok := words[r]; !ok {
			t.Errorf("reason %v has no words", r)
		}
	}
}
