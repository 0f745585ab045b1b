package core

import "strings"

// Class is the service class of a request, model or service: it decides who is
// served first under load.
type Class uint8

// Service classes, the most urgent first.
const (
	// Interactive is for requests whose answer a person is waiting for.
	Interactive Class = iota
	// Evening is for requests of a person's session that tolerate a cold start.
	Evening
	// Overnight is for batch work that nobody waits for. It yields to the other
	// classes.
	Overnight
	// ClassCount is the number of classes.
	ClassCount
)

var classNames = [ClassCount]string{"interactive", "evening", "overnight"}

// String returns the class's name as written in the catalogue.
func (c Class) String() string {
	if c >= ClassCount {
		return "unknown"
	}
	return classNames[c]
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its error is a NameError.
func (c *Class) UnmarshalText(text []byte) error {
	return parseName(c, "class", classNames[:], text)
}

// Outcome says whether a request that has its final answer was executed.
type Outcome uint8

// Outcomes. NotRun is reported only if no upstream can have seen the request.
const (
	// Done means that the upstream's whole answer was relayed.
	Done Outcome = iota
	// NotRun means that the request did not run and will not run.
	NotRun
	// MayHaveRun means that an upstream may have run all or part of the request.
	MayHaveRun
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"done", "not-run", "may-have-run"}

// String returns the outcome's name as sent in the Radishwell-Outcome field.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return "unknown"
	}
	return outcomeNames[o]
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its error is a NameError.
func (o *Outcome) UnmarshalText(text []byte) error {
	return parseName(o, "outcome", outcomeNames[:], text)
}

// NameError is returned for a text that isn't one of an enumeration's names.
type NameError struct {
	// Kind names the enumeration, such as "class".
	Kind string
	// Text is the text that was not recognized.
	Text string
	// Known lists the accepted names.
	Known []string
}

// Error implements error.
func (e *NameError) Error() string {
	return "unknown " + e.Kind + " " + quote(e.Text) + "; known are " + strings.Join(e.Known, ", ")
}

func parseName[T ~uint8](to *T, kind string, names []string, text []byte) error {
	for i, n := range names {
		if n == string(text) {
			*to = T(i)
			return nil
		}
	}
	return &NameError{Kind: kind, Text: string(text), Known: names}
}
