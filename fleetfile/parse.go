package fleetfile

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protojson"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
)

// File is a validated fleet file.
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

// Parse parses and validates a file; the error lists all problems.
func Parse(data []byte) (*File, error) {
	fleet := &operatorv1.Fleet{}
	if err := protojson.Unmarshal(data, fleet); err != nil {
		return nil, errors.Annotate(err, "fleet file")
	}
	return FromProto(fleet)
}

// FromProto validates a fleet message that is already decoded.
func FromProto(fleet *operatorv1.Fleet) (*File, error) {
	file := &File{Resources: flatten(fleet), TopUps: fleet.GetTopUps()}
	if problems := validate(fleet, file); len(problems) > 0 {
		return nil, errors.Errorf("fleet file:\n  %s", strings.Join(problems, "\n  "))
	}
	return file, nil
}

func flatten(f *operatorv1.Fleet) []*operatorv1.Resource {
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

func validate(f *operatorv1.Fleet, file *File) []string {
	var problems []string
	seen := map[config.Key]bool{}
	for _, r := range file.Resources {
		problems = append(problems, config.Validate(r)...)
		key, _ := config.KeyOf(r)
		if seen[key] {
			problems = append(problems, fmt.Sprintf("%s is declared twice", key))
		}
		seen[key] = true
	}
	problems = append(problems, checkReferences(f, seen)...)
	return problems
}

// checkReferences reports names that the file references but doesn't declare. A file
// declares the complete fleet, so a reference to anything else is an error.
func checkReferences(f *operatorv1.Fleet, declared map[config.Key]bool) []string {
	var problems []string
	requireDeclared := func(location string, kind config.Kind, name string) {
		if !declared[config.Key{Kind: kind, Name: name}] {
			problems = append(problems, fmt.Sprintf("%s references %s %q, which the file doesn't declare", location, kind, name))
		}
	}
	for _, b := range f.GetBudgets() {
		requireDeclared("budget/"+b.GetName(), config.KindAccount, b.GetAccount())
		for _, service := range b.GetServices() {
			requireDeclared("budget/"+b.GetName(), config.KindService, service)
		}
	}
	for _, u := range f.GetUpstreams() {
		requireDeclared("upstream/"+u.GetName(), config.KindService, u.GetService())
	}
	for i, t := range f.GetTopUps() {
		location := fmt.Sprintf("topUps[%d]", i)
		requireDeclared(location, config.KindBudget, t.GetBudget())
		if t.GetId() == "" || t.GetTokens() == 0 {
			problems = append(problems, location+" needs an id and tokens")
		}
	}
	return problems
}
