package fleetfile

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protojson"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
)

// File is a fleet file that was checked.
type File struct {
	Resources []*operatorv1.Resource
	TopUps    []*operatorv1.TopUp
}

func (f *File) declaresTokens() bool {
	for _, r := range f.Resources {
		if r.GetOperatorToken() != nil {
			return true
		}
	}
	return false
}

// Parse reads and checks a file; the error names all mistakes.
func Parse(data []byte) (*File, error) {
	fleet := &operatorv1.Fleet{}
	if err := protojson.Unmarshal(data, fleet); err != nil {
		return nil, errors.Annotate(err, "fleet file")
	}
	return FromProto(fleet)
}

// FromProto checks a fleet that was read or built already.
func FromProto(fleet *operatorv1.Fleet) (*File, error) {
	file := &File{Resources: resources(fleet), TopUps: fleet.GetTopUps()}
	if mistakes := check(fleet, file); len(mistakes) > 0 {
		return nil, errors.Errorf("fleet file:\n  %s", strings.Join(mistakes, "\n  "))
	}
	return file, nil
}

func resources(f *operatorv1.Fleet) []*operatorv1.Resource {
	var all []*operatorv1.Resource
	for _, r := range f.GetAccounts() {
		all = append(all, &operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: r}})
	}
	for _, r := range f.GetServices() {
		all = append(all, &operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: r}})
	}
	for _, r := range f.GetBudgets() {
		all = append(all, &operatorv1.Resource{Kind: &operatorv1.Resource_Budget{Budget: r}})
	}
	for _, r := range f.GetUpstreams() {
		all = append(all, &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: r}})
	}
	for _, r := range f.GetOperatorTokens() {
		all = append(all, &operatorv1.Resource{Kind: &operatorv1.Resource_OperatorToken{OperatorToken: r}})
	}
	return all
}

func check(f *operatorv1.Fleet, file *File) []string {
	var mistakes []string
	seen := map[config.Key]bool{}
	for _, r := range file.Resources {
		mistakes = append(mistakes, config.Validate(r)...)
		key, _ := config.KeyOf(r)
		if seen[key] {
			mistakes = append(mistakes, fmt.Sprintf("%s stands twice", key))
		}
		seen[key] = true
	}
	mistakes = append(mistakes, checkReferences(f, seen)...)
	return mistakes
}

// checkReferences finds names that the file uses but doesn't declare. A file
// declares a fleet whole, so a name from elsewhere is a mistake.
func checkReferences(f *operatorv1.Fleet, declared map[config.Key]bool) []string {
	var mistakes []string
	need := func(place string, kind config.Kind, name string) {
		if !declared[config.Key{Kind: kind, Name: name}] {
			mistakes = append(mistakes, fmt.Sprintf("%s names %s %q, which the file doesn't declare", place, kind, name))
		}
	}
	for _, b := range f.GetBudgets() {
		need("budget/"+b.GetName(), config.KindAccount, b.GetAccount())
		for _, service := range b.GetServices() {
			need("budget/"+b.GetName(), config.KindService, service)
		}
	}
	for _, u := range f.GetUpstreams() {
		need("upstream/"+u.GetName(), config.KindService, u.GetService())
	}
	for i, t := range f.GetTopUps() {
		place := fmt.Sprintf("topUps[%d]", i)
		need(place, config.KindBudget, t.GetBudget())
		if t.GetId() == "" || t.GetTokens() == 0 {
			mistakes = append(mistakes, place+" needs an id and tokens")
		}
	}
	return mistakes
}
