package scale

import (
	"fmt"
	"net/netip"

	"github.com/rs/zerolog"

	"chalkferry/internal/aggregation"
	"chalkferry/internal/sharing"
)

// loopback is where a hollow member's socket is bound, at any free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// mechanism names what carries the shared counts in a report.
const mechanism = "aggregators: sums over regions, exchanged, and digests of them"

// sharer is the shared state of one hollow member: the only thing of the mechanism that a worker knows.
type sharer interface {
	Publish(facts []sharing.SessionCount)
	Figure(kind aggregation.Kind, name string) (aggregation.Figure, bool)
	Close()
}

// startSharer starts a hollow member's shared state on a link.
func startSharer(spec *MemberSpec, l *link) (sharer, error) {
	config := sharing.DefaultMemberConfig()
	config.Name, config.Region, config.Zone = spec.Name, regionName(spec.Region), zoneName(spec.Zone)
	config.Listen = loopback
	config.Aggregators = spec.Aggregators
	config.WrapSocket = l.wrap
	return sharing.StartMember(config, zerolog.Nop())
}

// listenerKey is what a status shows for a name that its proxy has not published itself.
func listenerKey(name string) string { return sharing.KeyName(aggregation.ByListener, name) }

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }
