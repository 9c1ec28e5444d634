package operator

import (
	"context"
	"strings"

	"google.golang.org/grpc/metadata"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// bootstrapName is the operator named in events while the bootstrap token is used.
const bootstrapName = "bootstrap"

// authorize returns the operator's name when its token has the role.
func (s *Server) authorize(ctx context.Context, need operatorv1.Role) (string, error) {
	name, role := s.identify(ctx)
	if role >= need {
		return name, nil
	}
	s.node().Events().Record(event.OperatorRefused, "operator", name, "needs", need)
	return "", result.New(result.NotAuthorized, "the operator token lacks %s", need)
}

func (s *Server) identify(ctx context.Context) (string, operatorv1.Role) {
	token := bearerToken(ctx)
	if token == "" {
		return "", operatorv1.Role_ROLE_UNSPECIFIED
	}
	view := s.node().Config()
	if held := view.OperatorToken(token); held != nil {
		return held.GetName(), held.GetRole()
	}
	// The bootstrap token works only until a stored one exists, so that a leaked
	// start script doesn't stay a key for ever.
	bootstrap := s.node().Settings().BootstrapTokenSHA256
	if bootstrap != "" && !view.HasOperatorTokens() && config.HashKey(token) == strings.ToLower(bootstrap) {
		return bootstrapName, operatorv1.Role_ROLE_OPERATE
	}
	return "", operatorv1.Role_ROLE_UNSPECIFIED
}

func bearerToken(ctx context.Context) string {
	md, _ := metadata.FromIncomingContext(ctx)
	for _, value := range md.Get("authorization") {
		if token, found := strings.CutPrefix(value, "Bearer "); found {
			return token
		}
	}
	return ""
}
