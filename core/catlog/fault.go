package catlog

import "radishwell/core/strict"

// Fault is a check that an entry fails.
type Fault struct {
	Check CheckID `json:"check"`
	// Key is the path of the faulty key within the spec. It is empty if the fault is
	// about the whole entry.
	Key string `json:"key,omitempty"`
	// Reason describes the fault to an operator.
	Reason string `json:"reason"`
	// target is the other entry that the fault is about; zero if there is none.
	target id
}

func fault(check CheckID, key, reason string) Fault {
	return Fault{Check: check, Key: key, Reason: reason}
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	s := string(f.Check) + " "
	if f.Key != "" {
		s += f.Key + ": "
	}
	return s + f.Reason
}

// formFaults converts the problems found while decoding a document to faults.
func formFaults(problems strict.Problems) []Fault {
	faults := make([]Fault, len(problems))
	for i, p := range problems {
		faults[i] = Fault{Check: CheckForm, Key: p.Key, Reason: p.Reason}
	}
	return faults
}
