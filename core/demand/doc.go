// Package demand measures the demand for models: rates and work as moving averages, and the
// number of waiting requests.
//
// An entry counts its own requests in a Tracker. In a large fleet it sends a relay the
// arrivals since its last report, and relays forward these to each other, so that each
// relay has the demand of all callers in a Fleet and any of them can take over at once if
// the planner is lost. Arrivals are sent as counts, once. Averages would have to be sent
// repeatedly as they decay, for each model by each entry.
package demand
