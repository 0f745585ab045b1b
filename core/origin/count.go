package origin

// Count counts the processes that an entry asks and hears, to tell whether it is in touch with the fleet.
// One that is cut off does not see versions that others see listed, and those that are cut off together
// know no more than each of them, so that their answers confirm nothing. The zero value is ready for use.
type Count struct {
	entries, agents, entriesHeard, agentsHeard int
}

// Ask adds other entries, or agents, that are asked, among them those that have just not answered.
func (c *Count) Ask(agents bool, n int) {
	if agents {
		c.agents += n
	} else {
		c.entries += n
	}
}

// Hear adds an entry, or an agent, that has answered.
func (c *Count) Hear(agent bool) {
	if agent {
		c.agentsHeard++
	} else {
		c.entriesHeard++
	}
}

// IsInTouch reports whether the entry, counted itself, and those that it heard are the greater part of the
// entries, and the agents that it heard that of the agents. Without agents all entries have to answer, and
// there has to be one.
func (c *Count) IsInTouch() bool {
	if c.agents == 0 {
		return c.entries > 0 && c.entriesHeard == c.entries
	}
	return 2*(c.entriesHeard+1) > c.entries+1 && 2*c.agentsHeard > c.agents
}
