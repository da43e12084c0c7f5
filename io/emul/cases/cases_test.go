package cases

import (
	"net/netip"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"egretdock/core/model"
	"egretdock/io/config"
)

// Guards against files under examples/ that differ from the deployments that
// the demo and the load tool run.
func TestFiles(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			c, err := Find(name)
			if err != nil {
				t.Fatal(err)
			}
			dir := filepath.Join("..", "..", "..", "examples", name)
			wanted, err := config.ReadFiles([]string{filepath.Join(dir, "templates.json"), filepath.Join(dir, "customers.json")})
			if err != nil {
				t.Fatal(err)
			}
			var got []model.Content
			for _, w := range wanted {
				got = append(got, w.Content)
			}
			if diff := cmp.Diff(c.Contents(), got, cmpopts.EquateComparable(netip.Addr{}, netip.AddrPort{}), cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("files of %s differ (-value +files):\n%s", name, diff)
			}
		})
	}
}
