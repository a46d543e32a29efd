package digest

import "testing"

// TestPositions guards against a position of an earlier era that is taken for a newer one since its revision is higher.
func TestPositions(t *testing.T) {
	for name, d := range map[string]struct {
		a, b Position
		want int
	}{
		"the same":                            {Position{3, 7}, Position{3, 7}, 0},
		"of the same era":                     {Position{3, 7}, Position{3, 8}, -1},
		"without eras":                        {Position{0, 9}, Position{0, 8}, 1},
		"a later era, lower":                  {Position{3, 900}, Position{4, 1}, -1},
		"a later era, same":                   {Position{4, 7}, Position{3, 7}, 1},
		"nothing known":                       {Position{}, Position{0, 1}, -1},
		"the first era that a platform tells": {Position{0, 500}, Position{1, 3}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			if got, back := d.a.Compare(d.b), d.b.Compare(d.a); got != d.want || back != -d.want {
				t.Errorf("%v to %v: %d, back %d, want %d", d.a, d.b, got, back, d.want)
			}
			if got := d.a.Before(d.b); got != (d.want < 0) {
				t.Errorf("%v before %v: %t", d.a, d.b, got)
			}
		})
	}
}

// TestLogsOfTwoEras guards against changes of an earlier era that reach a router with the state of a later one, or the other way round.
func TestLogsOfTwoEras(t *testing.T) {
	old, now := Position{Era: 1, Revision: 20}, Position{Era: 2, Revision: 18}
	f := &Fleet{Address: "a", DataCentre: "d"}
	f.ObservePlatform(1, Position{}, now, nil)
	f.Receive(2, Message{From: "b", Position: old.At(25), Update: &Update{Position: old.At(25), From: old.At(17), To: old.At(25), Changes: []Change{change(19, 1), change(25, 1)}}})
	if got := f.Known(); got != now || f.Position != now {
		t.Errorf("knows %v of %v after changes of an earlier era, want %v", got, f.Position, now)
	}
	f.Receive(3, Message{From: "c", Position: now.At(19), Update: &Update{Position: now.At(19), From: now, To: now.At(19), Changes: []Change{change(19, 1)}}})
	if got := f.Known(); got != now.At(19) {
		t.Errorf("knows %v, want %v", got, now.At(19))
	}
	if _, _, ok := f.Since(old); ok {
		t.Error("changes of a later era are given to a reader of an earlier one")
	}
	f.Receive(4, Message{From: "c", Position: Position{Era: 3, Revision: 2}, Update: &Update{Position: Position{Era: 3, Revision: 2}}})
	if f.Known() != now.At(19) || f.Position != (Position{Era: 3, Revision: 2}) {
		t.Errorf("knows %v of %v, want to know only that there is a later era", f.Known(), f.Position)
	}
	f.Receive(5, Message{From: "d", Position: Position{Revision: 20}, Update: &Update{Position: Position{Revision: 20}, From: Position{Revision: 19}, To: Position{Revision: 20}, Changes: []Change{change(20, 1)}}})
	if got := f.Known(); got != now.At(20) {
		t.Errorf("knows %v after changes of a router that tells no era, want %v", got, now.At(20))
	}
}
