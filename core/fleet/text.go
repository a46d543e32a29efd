package fleet

// MarshalText returns the name of the outcome.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses the name of an outcome. An unknown name becomes OutcomeNone.
func (o *Outcome) UnmarshalText(text []byte) error {
	*o = OutcomeNone
	for c := OutcomeNone; c <= OutcomeUnreached; c++ {
		if c.String() == string(text) {
			*o = c
		}
	}
	return nil
}

// MarshalText returns the name of the verdict.
func (v KeyVerdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText parses the name of a verdict. An unknown name becomes KeyRefused.
func (v *KeyVerdict) UnmarshalText(text []byte) error {
	*v = KeyRefused
	for c := KeyRefused; c <= KeyUnknown; c++ {
		if c.String() == string(text) {
			*v = c
		}
	}
	return nil
}
