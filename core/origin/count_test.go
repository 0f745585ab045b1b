package origin_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core/origin"
)

// Guards against processes that are cut off together and confirm each other.
func TestPartOfFleetIsNotInTouch(t *testing.T) {
	for name, c := range map[string]struct {
		entries, heard, agents, agentsHeard int
		want                                bool
	}{
		"knows nobody":                       {},
		"one other of one":                   {entries: 1, heard: 1, want: true},
		"two together, agents silent":        {entries: 1, heard: 1, agents: 6},
		"two together of three":              {entries: 2, heard: 1},
		"all others":                         {entries: 2, heard: 2, want: true},
		"all":                                {entries: 4, heard: 4, agents: 9, agentsHeard: 9, want: true},
		"some have just ended":               {entries: 4, heard: 3, agents: 9, agentsHeard: 6, want: true},
		"half of the entries":                {entries: 3, heard: 1, agents: 9, agentsHeard: 9},
		"half of the agents":                 {entries: 3, heard: 3, agents: 8, agentsHeard: 4},
		"agents only, and others are silent": {entries: 4, agents: 9, agentsHeard: 9},
		"the only entry, with its agents":    {agents: 3, agentsHeard: 3, want: true},
	} {
		var count origin.Count
		count.Ask(false, c.entries)
		count.Ask(true, c.agents)
		for range c.heard {
			count.Hear(false)
		}
		for range c.agentsHeard {
			count.Hear(true)
		}
		assert.Check(t, count.IsInTouch() == c.want, name)
	}
}
