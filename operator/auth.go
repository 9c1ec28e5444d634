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

// bootstrapOperator is the operator name in events for calls with the bootstrap token.
const bootstrapOperator = "bootstrap"

// authorize returns the operator's name if its token grants at least the required role.
func (s *Server) authorize(ctx context.Context, required operatorv1.Role) (string, error) {
	name, role := s.authenticate(ctx)
	if role >= required {
		return name, nil
	}
	s.currentNode().Events().Record(event.OperatorRefused, "operator", name, "needs", required)
	return "", result.New(result.NotAuthorized, "the operator token lacks %s", required)
}

func (s *Server) authenticate(ctx context.Context) (string, operatorv1.Role) {
	token := bearerToken(ctx)
	if token == "" {
		return "", operatorv1.Role_ROLE_UNSPECIFIED
	}
	view := s.currentNode().Config()
	if stored := view.OperatorToken(token); stored != nil {
		return stored.GetName(), stored.GetRole()
	}
	// The bootstrap token is valid only until an operator token is stored, so that
	// a leaked start script doesn't grant access forever.
	bootstrap := s.currentNode().Settings().BootstrapTokenSHA256
	if bootstrap != "" && !view.HasOperatorTokens() && config.HashKey(token) == strings.ToLower(bootstrap) {
		return bootstrapOperator, operatorv1.Role_ROLE_OPERATE
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
