package sharing

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// WriteStatus writes a status, which is the JSON of a MemberStatus or an AggregatorProcessStatus, as text for a terminal.
func WriteStatus(to io.Writer, text []byte) error {
	var head StatusHead
	if err := json.Unmarshal(text, &head); err != nil {
		return err
	}
	out := bufio.NewWriter(to)
	switch head.Role {
	case RoleMember:
		var s MemberStatus
		if err := json.Unmarshal(text, &s); err != nil {
			return err
		}
		s.write(out)
	case RoleAggregator:
		var s AggregatorProcessStatus
		if err := json.Unmarshal(text, &s); err != nil {
			return err
		}
		s.write(out)
	default:
		return fmt.Errorf("no status of a member or an aggregator: role %q", head.Role)
	}
	return out.Flush()
}

func (s *MemberStatus) write(out io.Writer) {
	fmt.Fprintf(out, "member %s in %s, zone %s, at %s, incarnation %d\n", s.Name, s.Region, s.Zone, s.Listen, s.Incarnation)
	if s.Superseded {
		fmt.Fprintln(out, "superseded: a later process has this member's name, and this one is not counted")
	}
	writeAggregators(out, s.Aggregators)
	writeRegions(out, s.Regions)
	writeSums(out, s.Sums)
	s.Datagrams.write(out)
	s.Dropped.write(out)
}

func (s *AggregatorProcessStatus) write(out io.Writer) {
	fmt.Fprintf(out, "aggregator %s in %s, at %s, incarnation %d\n", s.Name, s.Region, s.Listen, s.Incarnation)
	fmt.Fprintf(out, "members: %d known, %d fresh, at most %d; at most %d keys of one, %d in all\n", s.Members.Known,
		s.Members.Fresh, s.Limits.Members, s.Limits.MemberKeys, s.Limits.Keys)
	for _, m := range s.Members.Each {
		fmt.Fprintf(out, "member %s  %-21s  zone %q, %d ms ago, weight %.2f, %d of %d keys, %s\n", m.ID, m.Address, m.Zone,
			m.AgeMS, m.Weight, m.Keys, m.KeysSent, subscription(m.Subscribed))
	}
	writeAggregators(out, s.Peers)
	writeRegions(out, s.Regions)
	writeSums(out, s.Sums)
	s.Datagrams.write(out)
	s.Dropped.write(out)
	fmt.Fprintf(out, "socket buffer: %d bytes\n", s.SocketBuffer)
}

func subscription(isSubscribed bool) string {
	if isSubscribed {
		return "subscribed"
	}
	return "not subscribed"
}

func writeAggregators(out io.Writer, aggregators []AggregatorStatus) {
	for _, a := range aggregators {
		if !a.Known {
			fmt.Fprintf(out, "aggregator %-12s %-21s  not heard\n", a.Name, a.Address)
			continue
		}
		use := "spare"
		if a.InUse {
			use = "in use"
		}
		fmt.Fprintf(out, "aggregator %-12s %-21s  %s, %d ms ago, %s, %d members, %.0f%% heard, %d of %d keys\n", a.Name,
			a.Address, a.Region, a.AgeMS, use, a.Members, percent(a.Heard), a.Keys, a.KeysSent)
	}
}

func writeRegions(out io.Writer, regions []RegionStatus) {
	for _, r := range regions {
		if r.Source == "" {
			fmt.Fprintf(out, "region %-16q not heard\n", r.Region)
			continue
		}
		fmt.Fprintf(out, "region %-16q by %s, %d members, %.0f%% heard, weight %.2f, %d ms old, slack %d, fading %d\n",
			r.Region, r.Source, r.Members, percent(r.Heard), r.Weight, r.AgeMS, r.Slack, r.Fading)
	}
}

func writeSums(out io.Writer, sums []SumStatus) {
	for _, sum := range sums {
		fmt.Fprintf(out, "%-8s  %-24s  %10.1f +- %-8.1f  %6d ms old  %3.0f%% of members heard\n", sum.Kind, sum.Name,
			sum.Value, sum.Error, sum.AgeMS, percent(sum.Heard))
	}
}

func percent(share float64) float64 { return 100 * share }

// write leaves out counts of 0.
func (d Datagrams) write(out io.Writer) {
	for _, line := range []struct {
		name  string
		count uint64
	}{
		{"sent", d.Sent}, {"sent, bytes", d.SentBytes}, {"received, bytes", d.ReceivedBytes}, {"not sent", d.NotSent},
		{"accepted", d.Accepted}, {"duplicate", d.Duplicate}, {"obsolete", d.Obsolete}, {"refused", d.Refused}, {"unknown sender", d.UnknownSender}, {"no room", d.NoRoom},
		{"too long", d.TooLong}, {"malformed", d.Malformed}, {"other version", d.OtherVersion},
		{"dropped, queue full", d.QueueFull}, {"dropped, socket buffer full", d.SocketDropped},
	} {
		if line.count > 0 {
			fmt.Fprintf(out, "datagrams %s: %d\n", line.name, line.count)
		}
	}
}

// write leaves out counts of 0.
func (d DroppedStatus) write(out io.Writer) {
	for _, line := range []struct {
		name  string
		count uint64
	}{
		{"entries dropped at the limit of keys", d.Keys}, {"reports dropped at the limit of members", d.Members},
		{"larger incarnations taken", d.Incarnations}, {"times that the process had been stopped", d.Stalls},
	} {
		if line.count > 0 {
			fmt.Fprintf(out, "%s: %d\n", line.name, line.count)
		}
	}
}
