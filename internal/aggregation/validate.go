package aggregation

func validReport(r *Report) bool {
	return r.Incarnation > 0 && validNumbers(r.Number, r.Since) && validName(r.Zone) &&
		r.Slack <= maxMemberValue && validEntries(r.Entries, maxMemberValue)
}

func validRegionSum(s *RegionSum) bool {
	return s.Incarnation > 0 && validNumbers(s.Number, s.Since) && validShare(s.Heard) &&
		s.Age >= 0 && s.Age <= maxAge && s.Slack <= maxSumValue && s.Fading <= maxSumValue &&
		validEntries(s.Entries, maxSumValue)
}

func validDigest(d *Digest) bool {
	numbers := validNumbers(d.Number, d.Since) || d.Number == 0 && d.Since == 0 && len(d.Entries) == 0
	if !numbers || d.Incarnation == 0 || d.Heartbeat == 0 || d.Slack > maxSumValue || len(d.Regions) > MaxRegions {
		return false
	}
	for i := range d.Regions {
		if !validRegionState(&d.Regions[i]) {
			return false
		}
	}
	return validEntries(d.Entries, maxSumValue)
}

func validRegionState(s *RegionState) bool {
	return validName(s.Region) && validShare(s.Heard) && validShare(s.Weight) &&
		s.Age >= 0 && s.Age <= maxAge && s.Slack <= maxSumValue && s.Fading <= maxSumValue
}

// validShare reports whether a share is within 0 to 1. NaN is not.
func validShare(share float64) bool { return share >= 0 && share <= 1 }
