// Bearer tokens come from the settings; there are no accounts and no sessions.

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

// principal is who sent a request.
type principal struct {
	operator bool
	team     units.TeamName // empty for operators
}

// tokens compares by hash, so that the time taken says nothing about how much
// of a token is right, nor about its length.
type tokens []struct {
	hash [sha256.Size]byte
	who  principal
}

func newTokens(operator settings.Secret, teams map[units.TeamName]settings.Secret) tokens {
	var all tokens
	add := func(token settings.Secret, who principal) {
		if !token.IsZero() {
			all = append(all, struct {
				hash [sha256.Size]byte
				who  principal
			}{sha256.Sum256([]byte(token.Reveal())), who})
		}
	}
	add(operator, principal{operator: true})
	for team, token := range teams {
		add(token, principal{team: team})
	}
	return all
}

func (t tokens) authenticate(q *http.Request) (principal, error) {
	scheme, token, _ := strings.Cut(q.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return principal{}, administration.Errorf(administration.KindUnauthorized, "no bearer token")
	}
	hash := sha256.Sum256([]byte(token))
	found := -1
	for i := range t { // always all of them, so that the time is the same for each team
		match := subtle.ConstantTimeCompare(hash[:], t[i].hash[:])
		found = subtle.ConstantTimeSelect(match, i, found)
	}
	if found < 0 {
		return principal{}, administration.Errorf(administration.KindUnauthorized, "unknown bearer token")
	}
	return t[found].who, nil
}
