package fleetfile

import (
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
)

// Whatever stands in a fleet file, reading it must not panic; and what is taken must be
// something that the fleet can hold, each name once, and read the same when it is
// written out again. Otherwise an operator's file would be refused after half of it, or
// the second apply of an unchanged file would change something.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"accounts":[{"name":"crew","keySha256":["` + config.HashKey("key") + `"]}],` +
		`"services":[{"name":"chat","kind":"SERVICE_KIND_ENGINE","models":["m"]}],` +
		`"budgets":[{"name":"crew-budget","account":"crew","services":["chat"]}],` +
		`"upstreams":[{"name":"engine","service":"chat","address":"127.0.0.1:9","region":"r","dataCentre":"r-a"}],` +
		`"topUps":[{"id":"first","budget":"crew-budget","tokens":"5"}]}`))
	f.Add([]byte(`{"accounts":[{"name":"crew"},{"name":"crew"}]}`))
	f.Add([]byte(`{"budgets":[{"name":"b","account":"nobody","services":[""]}],"topUps":[{}]}`))
	f.Add([]byte(`{"services":[null],"upstreams":null}`))
	f.Add([]byte(`{"operatorTokens":[{"name":"t","tokenSha256":"zz"}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse(data)
		if err != nil {
			return
		}
		seen := map[config.Key]bool{}
		for _, r := range file.Resources {
			key, known := config.KeyOf(r)
			if mistakes := config.Validate(r); !known || seen[key] || len(mistakes) > 0 {
				t.Fatalf("took %s: %v", key, mistakes)
			}
			seen[key] = true
		}
		sameAgain(t, data, file)
	})
}

func sameAgain(t *testing.T, data []byte, file *File) {
	fleet := &operatorv1.Fleet{}
	if err := protojson.Unmarshal(data, fleet); err != nil {
		t.Fatal(err)
	}
	written, err := protojson.Marshal(fleet)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse(written)
	if err != nil {
		t.Fatalf("%s: %v", written, err)
	}
	if len(again.Resources) != len(file.Resources) || len(again.TopUps) != len(file.TopUps) {
		t.Fatalf("%s reads as another fleet", written)
	}
	for i, r := range file.Resources {
		if !proto.Equal(r, again.Resources[i]) {
			t.Fatalf("%v became %v", r, again.Resources[i])
		}
	}
}
