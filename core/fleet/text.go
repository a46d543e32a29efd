package fleet

// MarshalText gives the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads an outcome's name; an unknown name becomes OutcomeNone.
func (o *Outcome) UnmarshalText(text []byte) error {
	*o = OutcomeNone
	for c := OutcomeNone; c <= OutcomeUnreached; c++ {
		if c.String() == string(text) {
			*o = c
		}
	}
	return nil
}

// MarshalText gives the verdict's name.
func (v KeyVerdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText reads a verdict's name; an unknown name becomes KeyRefused.
func (v *KeyVerdict) UnmarshalText(text []byte) error {
	*v = KeyRefused
	for c := KeyRefused; c <= KeyUnknown; c++ {
		if c.String() == string(text) {
			*v = c
		}
	}
	return nil
}
