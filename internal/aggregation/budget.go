package aggregation

// Largest CBOR sizes, in bytes, of the parts of a message other than its entries.
const (
	envelopeBytes     = 12 // map header, version, message type, and the key of the body
	arrayHeaderBytes  = 3  // header of a list of entries or of an array of fields
	maxIntegerBytes   = 9
	stringHeaderBytes = 2 // length prefix of a zone's or region's name

	// Counts of the numeric fields of each message.
	reportNumberFields      = 7
	regionSumNumberFields   = 10
	digestNumberFields      = 7
	regionStateNumberFields = 7
)

// reportBudget returns the bytes available for the entries of a report.
func reportBudget(zone string) int {
	return MaxDatagramBytes - envelopeBytes - 2*arrayHeaderBytes - reportNumberFields*maxIntegerBytes - stringHeaderBytes - len(zone)
}

// regionSumBudget returns the bytes available for the entries of a region sum.
func regionSumBudget(region string) int {
	return MaxDatagramBytes - envelopeBytes - 2*arrayHeaderBytes - regionSumNumberFields*maxIntegerBytes - stringHeaderBytes - len(region)
}

// digestBudget returns the bytes available for the entries of a digest.
func digestBudget(region string, states []RegionState) int {
	budget := MaxDatagramBytes - envelopeBytes - 3*arrayHeaderBytes - digestNumberFields*maxIntegerBytes - stringHeaderBytes - len(region)
	for _, state := range states {
		budget -= arrayHeaderBytes + regionStateNumberFields*maxIntegerBytes + stringHeaderBytes + len(state.Region)
	}
	return budget
}
