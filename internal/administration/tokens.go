// Requests are authenticated by bearer tokens from the settings; there are no user
// accounts and no login sessions.

package administration

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

// principal is the authenticated sender of a request: the operators or one team.
type principal struct {
	operator bool
	team     units.TeamName // empty for operators
}

// tokens holds hashes of the tokens. Comparing hashes prevents timing attacks: the
// duration reveals neither how much of a token is correct nor its length.
type tokens []struct {
	hash      [sha256.Size]byte
	principal principal
}

// newTokens omits the zero value of the operator's token and of team tokens, which would
// otherwise match an empty one.
func newTokens(operator settings.Secret, teams map[units.TeamName]settings.Secret) tokens {
	var all tokens
	add := func(token settings.Secret, p principal) {
		if !token.IsZero() {
			all = append(all, struct {
				hash      [sha256.Size]byte
				principal principal
			}{sha256.Sum256([]byte(token.Reveal())), p})
		}
	}
	add(operator, principal{operator: true})
	for team, token := range teams {
		add(token, principal{team: team})
	}
	return all
}

func (t tokens) authenticate(req *http.Request) (principal, error) {
	scheme, token, _ := strings.Cut(req.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return principal{}, administration.Errorf(administration.KindUnauthorized, "header Authorization: want Bearer and the token of the operator or of a team")
	}
	hash := sha256.Sum256([]byte(token))
	found := -1
	for i := range t { // no early exit, so that the duration is the same for each team
		match := subtle.ConstantTimeCompare(hash[:], t[i].hash[:])
		found = subtle.ConstantTimeSelect(match, i, found)
	}
	if found < 0 {
		return principal{}, administration.Errorf(administration.KindUnauthorized, "header Authorization: the bearer token is neither the operator's nor a team's")
	}
	return t[found].principal, nil
}
