package scale

import (
	"fmt"
	"net/netip"

	"github.com/rs/zerolog"

	"chalkferry/internal/aggregation"
	"chalkferry/internal/sharing"
)

// loopback is the address that hollow members bind their sockets to, with any free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// mechanism is the name that reports have for what carries the shared counts.
const mechanism = "aggregators: sums over regions, exchanged, and digests of them"

// sharedState is the shared state of one hollow member. Workers use the sharing mechanism only through this interface.
type sharedState interface {
	Publish(facts []sharing.SessionCount)
	Figure(kind aggregation.Kind, name string) (aggregation.Figure, bool)
	Close()
}

// startSharedState starts a hollow member's shared state, with its socket on a link.
func startSharedState(spec *MemberSpec, l *link) (sharedState, error) {
	config := sharing.DefaultMemberConfig()
	config.Name, config.Region, config.Zone = spec.Name, regionName(spec.Region), zoneName(spec.Zone)
	config.Listen = loopback
	config.Aggregators = spec.Aggregators
	config.WrapSocket = l.wrap
	return sharing.StartMember(config, zerolog.Nop())
}

// listenerKey returns the name under which a status shows a count that its proxy has not published itself.
func listenerKey(name string) string { return sharing.KeyName(aggregation.ByListener, name) }

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }
