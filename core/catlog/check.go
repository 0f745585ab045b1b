package catlog

import "slices"

// CheckID numbers a check of the catalogue.
type CheckID string

// Check describes a numbered check to operators.
type Check struct {
	ID   CheckID
	Text string
	// Advice marks a check whose failure leaves the entry in force.
	Advice bool
}

// Checks of single entries.
const (
	CheckForm         CheckID = "RC1001"
	CheckName         CheckID = "RC1002"
	CheckMissing      CheckID = "RC1003"
	CheckNegative     CheckID = "RC1004"
	CheckMemory       CheckID = "RC1005"
	CheckBurst        CheckID = "RC1006"
	CheckDigest       CheckID = "RC1007"
	CheckCallerTwice  CheckID = "RC1008"
	CheckDigestTwice  CheckID = "RC1009"
	CheckServiceType  CheckID = "RC1010"
	CheckRepeatRule   CheckID = "RC1011"
	CheckWrongType    CheckID = "RC1012"
	CheckSharedWith   CheckID = "RC1013"
	CheckSelfBase     CheckID = "RC1014"
	CheckLimitHere    CheckID = "RC1015"
	CheckTooLarge     CheckID = "RC1016"
	CheckCallerLimits CheckID = "RC1017"
)

// Checks of entries against each other.
const (
	CheckOwnerThere   CheckID = "RC1101"
	CheckServiceThere CheckID = "RC1102"
	CheckServiceKind  CheckID = "RC1103"
	CheckBaseThere    CheckID = "RC1104"
	CheckBaseModel    CheckID = "RC1105"
	CheckBasePending  CheckID = "RC1106"
	CheckNameTaken    CheckID = "RC1107"
	CheckKeyShared    CheckID = "RC1108"
	CheckNeverFits    CheckID = "RC1109"
	CheckReplicasFit  CheckID = "RC1110"
	CheckSharedThere  CheckID = "RC1111"
	CheckEntryTwice   CheckID = "RC1112"
	CheckKeyTaken     CheckID = "RC1113"
)

var checkTable = []Check{
	{CheckForm, "the entry is a document of the keys of its kind, each of its type and unit", false},
	{CheckName, "a name has 1 to 63 lower-case letters, digits, '-', '.' or '_', and starts and ends with a letter or digit", false},
	{CheckMissing, "a key that the kind needs is there", false},
	{CheckNegative, "no limit and no amount is negative", false},
	{CheckMemory, "a model or adapter holds some memory", false},
	{CheckBurst, "a burst needs a rate, and a rate below one in a second a burst", false},
	{CheckDigest, "a digest is 64 lower-case hexadecimal digits", false},
	{CheckCallerTwice, "an owner names each caller once", false},
	{CheckDigestTwice, "an owner lists each digest once", false},
	{CheckServiceType, "a service's type is engine or plain", false},
	{CheckRepeatRule, "a repeat rule is safe-methods, all or none", false},
	{CheckWrongType, "keys of the other service type are absent", false},
	{CheckSharedWith, "shared-with names other owners, each once, or only \"*\"", false},
	{CheckSelfBase, "an adapter is not its own base", false},
	{CheckLimitHere, "a limit is given only where it has a meaning", false},
	{CheckTooLarge, "an amount is within what a fleet can hold", false},
	{CheckCallerLimits, "a caller's limit is not above its owner's", false},
	{CheckOwnerThere, "the owner is in the catalogue", false},
	{CheckServiceThere, "the service is in the catalogue and in force", false},
	{CheckServiceKind, "a model's service has the type engine", false},
	{CheckBaseThere, "an adapter's base is in the catalogue", false},
	{CheckBaseModel, "an adapter's base is a model", false},
	{CheckBasePending, "an adapter's base is in force itself", false},
	{CheckNameTaken, "a name belongs to one service, model or adapter: the one that was served first, or else a service before a model before an adapter", false},
	{CheckKeyShared, "a digest belongs to one owner: one that several came to list at once opens to none of them", true},
	{CheckNeverFits, "one replica fits the owner's memory limit", true},
	{CheckReplicasFit, "all replicas of the limit fit the owner's memory limit", true},
	{CheckSharedThere, "each owner in shared-with is in the catalogue", true},
	{CheckEntryTwice, "files name each entry once", false},
	{CheckKeyTaken, "an edit lists no digest that another owner had before", false},
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
