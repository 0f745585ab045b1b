package admit

// Records returns the number of records that a holds.
func Records(a *Limiter) int { return len(a.records) }
