package core

import "strings"

// Class is the service class of a request, model or service.
type Class uint8

// Service classes, the most urgent first.
const (
	// Interactive work has a person waiting in front of a client.
	Interactive Class = iota
	// Evening work belongs to a person's session but tolerates a cold start.
	Evening
	// Overnight work has no one waiting; it yields to the other two.
	Overnight
	// ClassCount is the number of classes; it is no class itself.
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

// Outcome is what is known about a request that has its final answer.
type Outcome uint8

// Outcomes. NotRun is claimed only where no upstream can have seen the request.
const (
	// Done means the upstream's whole answer was relayed.
	Done Outcome = iota
	// NotRun means the request did not run and will not run.
	NotRun
	// MayHaveRun means an upstream may have run all or part of the request.
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

// NameError reports a text that is none of the names of an enumeration.
type NameError struct {
	// Kind is what was to be read, such as "class".
	Kind string
	// Text is what was found.
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
