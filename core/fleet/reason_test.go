package fleet

import "testing"

func TestReasonText(t *testing.T) {
	for r := ReasonNone; r <= ReasonServersRest; r++ {
		text, err := r.MarshalText()
		if err != nil {
			t.Fatalf("marshal %v: %v", r, err)
		}
		var back Reason
		if err := back.UnmarshalText(text); err != nil || back != r {
			t.Errorf("%v was unmarshalled as %v, error %v", r, back, err)
		}
	}
}
