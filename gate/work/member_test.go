package work

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mulleingate.dev/base/fault"
)

// TestMemberRoundTrip checks that ParseMember reads what Member writes and rejects malformed members.
func TestMemberRoundTrip(t *testing.T) {
	box := Box{Name: "b-1", Zone: "a", Peer: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: "i", Cores: 0.192, Link: 30}
	got, err := ParseMember(box.Member())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(box, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("box (-want +got):\n%s", diff)
	}
	for _, text := range []string{"", "b|a|10.0.0.1:80|i", "b|a|nowhere|i|1|1", "b|a|10.0.0.1:80|i|x|1", "b|a|10.0.0.1:80|i|1|x",
		"b|a|10.0.0.1:80|i|NaN|1", "b|a|10.0.0.1:80|i|1|Inf", "b|a|10.0.0.1:80|i|-1|1", "b|a|10.0.0.1:80|i|1|1e300", "b|a|10.0.0.1:99999|i|1|1"} {
		if _, err := ParseMember(text); !fault.Is(err, fault.Protocol) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
