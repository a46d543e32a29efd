package wire

import "mangolug.org/core/fleet"

func encodeList(l *fleet.ListText) *ListText {
	w := &ListText{Ask: l.Ask, Address: l.Address, Age: l.Age, Digest: l.Digest}
	for _, v := range l.VMs {
		w.Vms = append(w.Vms, &VM{
			Name: v.Name, Address: v.Address, Admin: v.Admin, DataCentre: v.DataCentre, Router: v.Router, State: int64(v.State),
		})
	}
	return w
}

func decodeList(w *ListText, c *checker) *fleet.ListText {
	c.items("vms", len(w.GetVms()))
	l := &fleet.ListText{
		Ask: w.GetAsk(), Address: c.optionalName("address", w.GetAddress()), Age: c.count("age", w.GetAge()), Digest: w.GetDigest(),
	}
	for _, v := range w.GetVms() {
		l.VMs = append(l.VMs, fleet.VM{
			Name: c.name("name", v.GetName()), Address: c.optionalName("address", v.GetAddress()), Admin: c.optionalName("admin", v.GetAdmin()),
			DataCentre: c.optionalName("dataCentre", v.GetDataCentre()), Router: v.GetRouter(),
			State: fleet.VMState(c.enum("state", v.GetState(), int64(fleet.VMLeaving))),
		})
	}
	return l
}
