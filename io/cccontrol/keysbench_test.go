package cccontrol_test

import (
	"fmt"
	"strings"
	"testing"

	"coriandercross/io/ccstandin"
)

// BenchmarkAdmit measures what the decision on a request costs, without teams and with 20 teams of two keys each.
func BenchmarkAdmit(b *testing.B) {
	var teams []string
	for i := range 20 {
		teams = append(teams, fmt.Sprintf(`{"name":"t%d","api_keys":["gkcuyj8pjbvk9m68k7b%d","ex5wa5xwyhks8nbkxxm%d"]}`, i, i, i))
	}
	for name, list := range map[string]string{"NoTeams": `[]`, "Teams": "[" + strings.Join(teams, ",") + "]"} {
		b.Run(name, func(b *testing.B) {
			k := newKeyed(b, ccstandin.NewCellStore())
			k.configure(1, list)
			for b.Loop() {
				if _, _, err := k.Admit("", "/q/j", "Token gkcuyj8pjbvk9m68k7b7"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
