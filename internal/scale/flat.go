package scale

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"os"

	"chalkferry/internal/fleet"
)

// flatPort is where members receive datagrams, each on a loopback address of its own: nothing that connects out from
// 127.0.0.1 can take it.
const flatPort = 7400

func flatAddresses(members int) []string {
	block := 192 + os.Getpid()%60
	addresses := make([]string, members)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("127.%d.%d.%d:%d", block, i/250, i%250+1, flatPort)
	}
	return addresses
}

// flatFile is the file of one member that knows all others.
func flatFile(me int, addresses []string, status string) []byte {
	var b bytes.Buffer
	if status != "" {
		fmt.Fprintf(&b, "status = \"%s\"\n", status)
	}
	fmt.Fprintf(&b, "me = %d\nmembers = [\n", me)
	for _, address := range addresses {
		fmt.Fprintf(&b, "\"%s\",\n", address)
	}
	b.WriteString("]\n")
	return b.Bytes()
}

// mechanism names what carries the shared counts in a report.
const mechanism = "flat counts: each member keeps every other's"

// listenerKey is what a status shows for a name that its proxy has not published itself.
func listenerKey(name string) string {
	h := fnv.New64a()
	h.Write([]byte(name)) // returns no error
	return fleet.CountKey{Kind: fleet.ByListener, ID: h.Sum64()}.String()
}
