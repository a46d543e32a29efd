package wire

import "fmt"

// maxNames bounds the names of each kind that one stream remembers; later ones are sent whole.
const maxNames = 512

// names are the names that one stream carried, at its sender or its receiver. Both number them from 1 as they come.
type names struct {
	products, teams, servers, addresses table
}

// table numbers the names of one kind.
type table struct {
	numbers map[string]uint32
	list    []string // at the receiver, by number
}

// field is a name in a message, with the number that may stand in its place.
type field struct {
	table  *table
	title  string
	name   *string
	number *uint32
}

// fields gives the names of a message that may be left out.
func (n *names) fields(e *Envelope) []field {
	d, g := e.GetDemand(), e.GetGrants()
	var list []field
	for _, c := range []*Cell{d.GetCell(), g.GetCell()} {
		if c != nil {
			list = append(list, field{&n.products, "product", &c.Product, &c.ProductNamed})
		}
	}
	for _, t := range d.GetWaiting() {
		list = append(list, field{&n.teams, "team", &t.Team, &t.TeamNamed})
	}
	for _, o := range g.GetGrants() {
		list = append(
			list,
			field{&n.teams, "team", &o.Team, &o.TeamNamed},
			field{&n.servers, "server", &o.Server, &o.ServerNamed},
			field{&n.addresses, "address", &o.Address, &o.AddressNamed},
		)
	}
	return list
}

// learn numbers the names of a message that is sent whole.
func (n *names) learn(e *Envelope) {
	for _, f := range n.fields(e) {
		f.table.learn(*f.name)
	}
}

// shorten puts numbers in the place of names that the stream carried before.
func (n *names) shorten(e *Envelope) {
	for _, f := range n.fields(e) {
		f.table.shorten(f)
	}
}

// restore puts the names back; its error is a *FieldError.
func (n *names) restore(e *Envelope) error {
	for _, f := range n.fields(e) {
		if err := f.table.restore(f); err != nil {
			return err
		}
	}
	return nil
}

func (t *table) shorten(f field) {
	if *f.name == "" {
		return
	}
	if number := t.numbers[*f.name]; number > 0 {
		*f.name, *f.number = "", number
		return
	}
	t.learn(*f.name)
}

// learn numbers a name that is not known yet.
func (t *table) learn(name string) {
	if name == "" || t.numbers[name] > 0 || len(t.numbers) >= maxNames {
		return
	}
	if t.numbers == nil {
		t.numbers = map[string]uint32{}
	}
	t.numbers[name] = uint32(len(t.numbers) + 1)
}

func (t *table) restore(f field) error {
	number := *f.number
	switch {
	case number == 0:
		t.hear(*f.name)
	case int64(number) > int64(len(t.list)) || *f.name != "":
		return &FieldError{Field: f.title, Value: fmt.Sprint(number)}
	default:
		*f.name, *f.number = t.list[number-1], 0
	}
	return nil
}

// hear numbers a whole name as its sender did.
func (t *table) hear(name string) {
	if len(name) > MaxName {
		return
	}
	t.learn(name)
	if len(t.numbers) > len(t.list) {
		t.list = append(t.list, name)
	}
}
