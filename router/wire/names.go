package wire

import "fmt"

// maxNames is the number of names of each kind that one stream remembers; any further names are sent in full.
const maxNames = 512

// nameTables holds the names that one stream has carried, at its sender or receiver. Both sides number them from 1 in order of arrival.
type nameTables struct {
	products, teams, servers, addresses nameTable
}

// nameTable holds the numbers of the names of one kind.
type nameTable struct {
	numbers map[string]uint32
	list    []string // at the receiver: name 1, name 2 and so on
}

// nameField is a name in a message and the number that may replace it.
type nameField struct {
	table  *nameTable
	label  string
	name   *string
	number *uint32
}

// fields returns the names of a message that may be replaced by numbers.
func (n *nameTables) fields(e *Envelope) []nameField {
	d, g := e.GetDemand(), e.GetGrants()
	var list []nameField
	for _, c := range []*Cell{d.GetCell(), g.GetCell()} {
		if c != nil {
			list = append(list, nameField{&n.products, "product", &c.Product, &c.ProductNamed})
		}
	}
	for _, t := range d.GetWaiting() {
		list = append(list, nameField{&n.teams, "team", &t.Team, &t.TeamNamed})
	}
	for _, o := range g.GetGrants() {
		list = append(
			list,
			nameField{&n.teams, "team", &o.Team, &o.TeamNamed},
			nameField{&n.servers, "server", &o.Server, &o.ServerNamed},
			nameField{&n.addresses, "address", &o.Address, &o.AddressNamed},
		)
	}
	return list
}

// record numbers the names of a message that is sent in full.
func (n *nameTables) record(e *Envelope) {
	for _, f := range n.fields(e) {
		f.table.add(*f.name)
	}
}

// shorten replaces names that the stream has carried before by their numbers.
func (n *nameTables) shorten(e *Envelope) {
	for _, f := range n.fields(e) {
		f.table.shorten(f)
	}
}

// restore replaces numbers by their names; the error is a *FieldError.
func (n *nameTables) restore(e *Envelope) error {
	for _, f := range n.fields(e) {
		if err := f.table.restore(f); err != nil {
			return err
		}
	}
	return nil
}

func (t *nameTable) shorten(f nameField) {
	if *f.name == "" {
		return
	}
	if number := t.numbers[*f.name]; number > 0 {
		*f.name, *f.number = "", number
		return
	}
	t.add(*f.name)
}

// add numbers a new name, unless the table is full.
func (t *nameTable) add(name string) {
	if name == "" || t.numbers[name] > 0 || len(t.numbers) >= maxNames {
		return
	}
	if t.numbers == nil {
		t.numbers = map[string]uint32{}
	}
	t.numbers[name] = uint32(len(t.numbers) + 1)
}

func (t *nameTable) restore(f nameField) error {
	number := *f.number
	switch {
	case number == 0:
		t.addReceived(*f.name)
	case int64(number) > int64(len(t.list)) || *f.name != "":
		return &FieldError{Field: f.label, Value: fmt.Sprint(number)}
	default:
		*f.name, *f.number = t.list[number-1], 0
	}
	return nil
}

// addReceived numbers a name that was sent in full, as its sender did.
func (t *nameTable) addReceived(name string) {
	if len(name) > MaxName {
		return
	}
	t.add(name)
	if len(t.numbers) > len(t.list) {
		t.list = append(t.list, name)
	}
}
