package claims

import (
	"encoding/binary"
	"encoding/json"
	"strconv"
	"time"

	"radishwell/core"
)

// recordSize is the size in bytes of one claim in a segment: key 16,
// fingerprint 8, claimant 8, attempt 4, agent 2, expiry 4. In base64 it is 56
// bytes.
const recordSize = 42

const (
	maxAgents  = 1 << 16
	maxAttempt = 1<<32 - 1
)

// agentRef identifies an agent in a segment.
type agentRef struct {
	Host        core.HostName    `json:"host"`
	Incarnation core.Incarnation `json:"incarnation,string"`
}

// segment is the content of one slot of a journal's ring.
type segment struct {
	Number uint64 `json:"number"`
	// Slots is the number of slots of the ring that the segment was written for.
	Slots  int        `json:"slots"`
	Closed bool       `json:"closed"`
	Agents []agentRef `json:"agents"`
	// Claims holds records of recordSize bytes, in the order they were recorded.
	Claims []byte `json:"claims"`
}

// SegmentError is returned for a slot of a journal that holds no valid segment.
// The journal grants no claims as long as such a slot exists.
type SegmentError struct {
	Name string
	// Cause is the JSON decoder's error; nil if a record is malformed.
	Cause error
}

// Error implements error.
func (e *SegmentError) Error() string {
	s := "claims object " + strconv.Quote(e.Name) + " holds no valid segment"
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *SegmentError) Unwrap() error { return e.Cause }

func decodeSegment(name string, spec []byte) (segment, error) {
	var s segment
	if err := json.Unmarshal(spec, &s); err != nil {
		return segment{}, &SegmentError{Name: name, Cause: err}
	}
	if s.Number == 0 || len(s.Claims)%recordSize != 0 {
		return segment{}, &SegmentError{Name: name}
	}
	for i := range s.count() {
		if int(binary.BigEndian.Uint16(s.record(i)[36:])) >= len(s.Agents) {
			return segment{}, &SegmentError{Name: name}
		}
	}
	return s, nil
}

// encode returns the segment as JSON. Marshalling cannot fail, because every
// value of the type can be represented in JSON.
func (s *segment) encode() []byte {
	out, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return out
}

func (s *segment) count() int { return len(s.Claims) / recordSize }

func (s *segment) record(i int) []byte { return s.Claims[i*recordSize : (i+1)*recordSize] }

func (s *segment) claim(i int) Claim {
	b := s.record(i)
	agent := s.Agents[binary.BigEndian.Uint16(b[36:])]
	c := Claim{
		Fingerprint: core.Fingerprint(binary.BigEndian.Uint64(b[16:])),
		Claimant:    binary.BigEndian.Uint64(b[24:]),
		Attempt:     uint64(binary.BigEndian.Uint32(b[32:])),
		Host:        agent.Host,
		Incarnation: agent.Incarnation,
		Expires:     time.Unix(int64(binary.BigEndian.Uint32(b[38:])), 0).UTC(),
	}
	copy(c.ID[:], b)
	return c
}

// expires returns the latest expiry among the claims.
func (s *segment) expires() time.Time {
	var last uint32
	for i := range s.count() {
		last = max(last, binary.BigEndian.Uint32(s.record(i)[38:]))
	}
	return time.Unix(int64(last), 0).UTC()
}

// add appends a claim. It reports false if the segment's table of agents is
// full.
func (s *segment) add(c Claim) bool {
	agent, ok := s.agent(agentRef{c.Host, c.Incarnation})
	if !ok {
		return false
	}
	b := append(s.Claims, c.ID[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(c.Fingerprint))
	b = binary.BigEndian.AppendUint64(b, c.Claimant)
	b = binary.BigEndian.AppendUint32(b, uint32(c.Attempt))
	b = binary.BigEndian.AppendUint16(b, agent)
	s.Claims = binary.BigEndian.AppendUint32(b, uint32(c.Expires.Unix()))
	return true
}

func (s *segment) agent(a agentRef) (uint16, bool) {
	for i, known := range s.Agents {
		if known == a {
			return uint16(i), true
		}
	}
	if len(s.Agents) >= maxAgents {
		return 0, false
	}
	s.Agents = append(s.Agents, a)
	return uint16(len(s.Agents) - 1), true
}

// size estimates the encoded size in bytes.
func (s *segment) size() core.Bytes {
	const perAgent, frame = 64, 64
	n := len(s.Claims)*4/3 + frame
	for _, a := range s.Agents {
		n += perAgent + len(a.Host)
	}
	return core.Bytes(n)
}
