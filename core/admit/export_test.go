package admit

// Records returns how many names a holds records of.
func Records(a *Admit) int { return len(a.records) }
