package fleetfile

import (
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
)

// FuzzParse parses arbitrary bytes as a fleet file. Parsing must not panic; an accepted file
// must contain only valid resources, each name once, and be unchanged after a round trip.
// Otherwise a file would be refused after half of it was applied, or the second apply of
// an unchanged file would change something.
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
			if problems := config.Validate(r); !known || seen[key] || len(problems) > 0 {
				t.Fatalf("accepted an invalid or duplicate resource %s: %v", key, problems)
			}
			seen[key] = true
		}
		checkRoundTrip(t, data, file)
	})
}

func checkRoundTrip(t *testing.T, data []byte, file *File) {
	fleet := &operatorv1.Fleet{}
	if err := protojson.Unmarshal(data, fleet); err != nil {
		t.Fatal(err)
	}
	written, err := protojson.Marshal(fleet)
	if err != nil {
		t.Fatal(err)
	}
	reparsed, err := Parse(written)
	if err != nil {
		t.Fatalf("%s: %v", written, err)
	}
	if len(reparsed.Resources) != len(file.Resources) || len(reparsed.TopUps) != len(file.TopUps) {
		t.Fatalf("%s: the numbers of resources or top-ups differ after a round trip", written)
	}
	for i, r := range file.Resources {
		if !proto.Equal(r, reparsed.Resources[i]) {
			t.Fatalf("round trip changed %v to %v", r, reparsed.Resources[i])
		}
	}
}
