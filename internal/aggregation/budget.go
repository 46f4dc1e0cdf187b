package aggregation

// Sizes in CBOR of what a message has beside its entries, each field at its largest.
const (
	envelopeBytes = 12 // map, version, message type, and the body's key
	arrayBytes    = 3  // of a list of entries or an array of fields
	numberBytes   = 9
	stringBytes   = 2 // of a string's length

	reportFields      = 7 // numbers in a Report
	regionSumFields   = 10
	digestFields      = 7
	regionStateFields = 7
)

// reportBudget returns how many bytes the entries of a report may take.
func reportBudget(zone string) int {
	return MaxDatagramBytes - envelopeBytes - 2*arrayBytes - reportFields*numberBytes - stringBytes - len(zone)
}

// regionSumBudget returns how many bytes the entries of a region sum may take.
func regionSumBudget(region string) int {
	return MaxDatagramBytes - envelopeBytes - 2*arrayBytes - regionSumFields*numberBytes - stringBytes - len(region)
}

// digestBudget returns how many bytes the entries of a digest may take.
func digestBudget(region string, states []RegionState) int {
	budget := MaxDatagramBytes - envelopeBytes - 3*arrayBytes - digestFields*numberBytes - stringBytes - len(region)
	for _, state := range states {
		budget -= arrayBytes + regionStateFields*numberBytes + stringBytes + len(state.Region)
	}
	return budget
}
