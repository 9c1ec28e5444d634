package request

import (
	"net/url"
	"strings"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// validatePath checks the path of a call and returns it unescaped, without its query.
// An upstream resolves dot segments: "/quotes/../orders" would match as an idempotent
// read here and run as a work order there, perhaps twice. A control character could end
// the request line and inject a header.
func validatePath(escaped string) (string, error) {
	escaped, _, _ = strings.Cut(escaped, "?")
	path, err := url.PathUnescape(escaped)
	if err != nil || !strings.HasPrefix(path, "/") {
		return "", result.New(result.InvalidPath, "the path has a broken escape")
	}
	for _, r := range path {
		if r < ' ' || r == 0x7f || r == '\\' {
			return "", result.New(result.InvalidPath, "the path holds a control character or a backslash")
		}
	}
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return "", result.New(result.InvalidPath, "the path holds a dot segment")
		}
	}
	if strings.Contains(path, "//") {
		return "", result.New(result.InvalidPath, "the path holds an empty segment")
	}
	return path, nil
}

// matchRule returns the declared call with the longest matching path prefix. A call that
// matches none counts as not idempotent and costs no tokens.
func matchRule(service *operatorv1.Service, method, path string) *operatorv1.Call {
	best := &operatorv1.Call{}
	for _, rule := range service.GetCalls() {
		if rule.GetMethod() != "" && rule.GetMethod() != method {
			continue
		}
		if strings.HasPrefix(path, rule.GetPath()) && len(rule.GetPath()) >= len(best.GetPath()) {
			best = rule
		}
	}
	return best
}
