package catlog

import "radishwell/core/strict"

// Fault is a check that an entry does not pass.
type Fault struct {
	Check CheckID `json:"check"`
	// Key is the path of the key at fault within the spec.
	Key string `json:"key,omitempty"`
	// Reason tells what is wrong, in words for an operator.
	Reason string `json:"reason"`
	// about is the other entry that the fault is about, if there is one.
	about id
}

func fault(check CheckID, key, reason string) Fault {
	return Fault{Check: check, Key: key, Reason: reason}
}

// String returns the fault as a line.
func (f Fault) String() string {
	s := string(f.Check) + " "
	if f.Key != "" {
		s += f.Key + ": "
	}
	return s + f.Reason
}

// formFaults turns the problems of a decoded document into faults.
func formFaults(problems strict.Problems) []Fault {
	faults := make([]Fault, len(problems))
	for i, p := range problems {
		faults[i] = Fault{Check: CheckForm, Key: p.Key, Reason: p.Reason}
	}
	return faults
}
