package catlog

import "slices"

// CheckID is the number of a check of the catalogue, such as RC1001.
type CheckID string

// Check describes a numbered check to operators.
type Check struct {
	ID   CheckID
	Text string
	// Advice is set if an entry that fails the check stays in force.
	Advice bool
}

// Checks of single entries. An entry that fails one is rejected.
const (
	CheckForm            CheckID = "RC1001"
	CheckName            CheckID = "RC1002"
	CheckMissing         CheckID = "RC1003"
	CheckNegative        CheckID = "RC1004"
	CheckMemory          CheckID = "RC1005"
	CheckBurst           CheckID = "RC1006"
	CheckDigest          CheckID = "RC1007"
	CheckCallerDuplicate CheckID = "RC1008"
	CheckDigestDuplicate CheckID = "RC1009"
	CheckServiceType     CheckID = "RC1010"
	CheckRepeatRule      CheckID = "RC1011"
	CheckWrongType       CheckID = "RC1012"
	CheckSharedWith      CheckID = "RC1013"
	CheckSelfBase        CheckID = "RC1014"
	CheckLimitApplies    CheckID = "RC1015"
	CheckTooLarge        CheckID = "RC1016"
	CheckCallerLimits    CheckID = "RC1017"
)

// Checks of entries against each other. An entry that fails one is pending, unless
// the check is advice. CheckEntryDuplicate is made on files only.
const (
	CheckOwnerExists    CheckID = "RC1101"
	CheckServiceExists  CheckID = "RC1102"
	CheckServiceKind    CheckID = "RC1103"
	CheckBaseExists     CheckID = "RC1104"
	CheckBaseModel      CheckID = "RC1105"
	CheckBasePending    CheckID = "RC1106"
	CheckNameTaken      CheckID = "RC1107"
	CheckKeyShared      CheckID = "RC1108"
	CheckNeverFits      CheckID = "RC1109"
	CheckReplicasFit    CheckID = "RC1110"
	CheckSharedExists   CheckID = "RC1111"
	CheckEntryDuplicate CheckID = "RC1112"
	CheckKeyTaken       CheckID = "RC1113"
)

var checkTable = []Check{
	{CheckForm, "the entry is a document with the keys of its kind, each with the right type and unit", false},
	{CheckName, "a name has 1 to 63 lower-case letters, digits, '-', '.' or '_', and starts and ends with a letter or digit", false},
	{CheckMissing, "every key that the kind requires is present", false},
	{CheckNegative, "no limit or amount is negative", false},
	{CheckMemory, "a model or adapter takes more than zero memory", false},
	{CheckBurst, "a burst comes with a rate, and a rate below one request a second with a burst", false},
	{CheckDigest, "a digest is 64 lower-case hexadecimal digits", false},
	{CheckCallerDuplicate, "an owner lists each caller once", false},
	{CheckDigestDuplicate, "an owner lists each digest once", false},
	{CheckServiceType, "a service's type is engine or plain", false},
	{CheckRepeatRule, "a repeat rule is safe-methods, all or none", false},
	{CheckWrongType, "keys that apply to the other service type only are absent", false},
	{CheckSharedWith, "shared-with names other owners, each once, or only \"*\"", false},
	{CheckSelfBase, "an adapter is not its own base", false},
	{CheckLimitApplies, "a limit is given only where it has a meaning", false},
	{CheckTooLarge, "an amount is below an upper bound that no fleet needs to exceed", false},
	{CheckCallerLimits, "a caller's limit is not above its owner's", false},
	{CheckOwnerExists, "the owner exists in the catalogue", false},
	{CheckServiceExists, "the service exists in the catalogue and is in force", false},
	{CheckServiceKind, "a model's service has the type engine", false},
	{CheckBaseExists, "an adapter's base exists in the catalogue", false},
	{CheckBaseModel, "an adapter's base is a model", false},
	{CheckBasePending, "an adapter's base is in force", false},
	{CheckNameTaken, "a name belongs to one service, model or adapter: to the one that was served first; otherwise a service takes precedence over a model, and a model over an adapter", false},
	{CheckKeyShared, "a digest belongs to one owner: if several owners listed it at the same time, requests with the key are refused", true},
	{CheckNeverFits, "one replica fits within the owner's memory limit", true},
	{CheckReplicasFit, "the most replicas that the entry allows fit within the owner's memory limit", true},
	{CheckSharedExists, "each owner in shared-with exists in the catalogue", true},
	{CheckEntryDuplicate, "files contain each entry once", false},
	{CheckKeyTaken, "an edit adds no digest that already belongs to another owner", false},
}

// Checks returns the table of all checks.
func Checks() []Check { return slices.Clone(checkTable) }

// Check returns the row of a check.
func (id CheckID) Check() (Check, bool) {
	i := slices.IndexFunc(checkTable, func(c Check) bool { return c.ID == id })
	if i < 0 {
		return Check{}, false
	}
	return checkTable[i], true
}
