package entryhost

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/internal/operatorclient"
	"github.com/papayasail/papayasail/settings"
	"github.com/papayasail/papayasail/store"
)

// spreadTime is the maximum time until a change has reached every entry host.
const spreadTime = 5 * time.Second

var opsToken = "ops-token"

func (s *site) operator(i int) *operator.Client {
	return operatorclient.New(hostIP(i)+":7480", s.fabric.Host(callerIP), nil)
}

func (s *site) putOrganisation(i int, change, name string, expect uint64, services []string, tokens ...string) (*operator.Accepted, error) {
	payload := &operator.PutOrganisationPayload{Token: &opsToken, Name: name, Services: services, ExpectVersion: expect, ChangeID: change}
	for _, token := range tokens {
		payload.TokenSha256 = append(payload.TokenSha256, settings.HashToken(token).String())
	}
	return s.operator(i).PutOrganisation(context.Background(), payload)
}

// statuses requests addresses and a reading from each host with a token and
// returns the status codes.
func (s *site) statuses(token string) string {
	var all string
	for i := range s.hosts {
		for _, path := range []string{"/v1/addresses", "/v1/services/gauges/call/reading/7"} {
			request, err := http.NewRequest(http.MethodGet, "http://"+hostIP(i)+":7480"+path, nil)
			s.is.NoErr(err)
			request.Header.Set("Authorization", "Bearer "+token)
			response, _ := s.do(request)
			all += fmt.Sprint(response.StatusCode, " ")
		}
	}
	return all
}

const (
	served     = "200 200 200 200 200 200 "
	refused    = "401 401 401 401 401 401 "
	notAllowed = "200 404 200 404 200 404 " // valid token, but not for this service
)

// Guards against tokens that only some hosts accept.
func TestOrganisationIsTheSameOnEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3)
		defer s.close()
		s.is.Equal(s.statuses("first"), refused)
		joined, err := s.putOrganisation(0, "c1", "seyhan", 0, nil, "first")
		s.is.NoErr(err)
		s.is.Equal(joined.Outcome, "accepted")
		time.Sleep(spreadTime)
		s.is.Equal(s.statuses("first"), served)
		s.is.Equal(s.statuses(testToken), served) // from the settings

		both, err := s.putOrganisation(1, "c2", "seyhan", joined.Version, nil, "second", "first")
		s.is.NoErr(err)
		time.Sleep(spreadTime)
		s.is.Equal(s.statuses("first")+s.statuses("second"), served+served)
		rotated, err := s.putOrganisation(2, "c3", "seyhan", both.Version, []string{outlook}, "second")
		s.is.NoErr(err)
		time.Sleep(spreadTime)
		s.is.Equal(s.statuses("first")+s.statuses("second"), refused+notAllowed)

		_, err = s.operator(1).RemoveOrganisation(t.Context(), &operator.RemoveOrganisationPayload{Token: &opsToken, Name: "seyhan", ExpectVersion: rotated.Version, ChangeID: "c4"})
		s.is.NoErr(err)
		time.Sleep(spreadTime)
		s.is.Equal(s.statuses("second"), refused)
	})
}

// Guards against organisations lost or changes half applied during a store outage.
func TestOrganisationsSurviveStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3)
		defer s.close()
		joined, err := s.putOrganisation(0, "c1", "seyhan", 0, nil, "first")
		s.is.NoErr(err)
		time.Sleep(spreadTime)
		s.store.SetFaults(store.Faults{Outage: true})
		time.Sleep(time.Minute)
		s.is.Equal(s.statuses("first"), served)
		_, err = s.putOrganisation(1, "c2", "seyhan", joined.Version, nil, "second")
		s.is.True(err != nil)
		s.store.SetFaults(store.Faults{})
		time.Sleep(time.Minute)
		s.is.Equal(s.statuses("first")+s.statuses("second"), served+refused)
	})
}

// Guards against 401 for valid tokens from a host that has not yet received the organisations.
func TestStartingHostDoesNotRejectTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2)
		defer s.close()
		_, err := s.putOrganisation(0, "c1", "seyhan", 0, nil, "first")
		s.is.NoErr(err)
		time.Sleep(spreadTime)
		s.store.SetFaults(store.Faults{Outage: true})
		s.fabric.Silence(hostIP(2), hostIP(0))
		s.fabric.Silence(hostIP(2), hostIP(1))
		s.start(2, 3)
		time.Sleep(spreadTime)
		const starting = "503 503 "
		s.is.True(strings.HasSuffix(s.statuses("first"), starting))
		s.is.True(strings.HasSuffix(s.statuses(""), "401 401 "))
		s.fabric.HealAll()
		time.Sleep(time.Minute)
		s.is.Equal(s.statuses("first")+s.statuses("wrong"), served+refused)
	})
}

// Guards against one token that belongs to two organisations or operators.
func TestConflictingOrganisationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		defer s.close()
		_, err := s.putOrganisation(0, "c1", "seyhan", 0, nil, "first")
		s.is.NoErr(err)
		for _, clash := range []struct{ name, token, holder string }{
			{"akarsu", "new", "organisation akarsu stands in"},
			{"ceyhan", testToken, "organisation akarsu"},
			{"ceyhan", opsToken, "operator ops"},
			{"ceyhan", "first", "organisation seyhan"},
		} {
			_, err := s.putOrganisation(0, "bad", clash.name, 0, nil, clash.token)
			var problem *operator.Problem
			s.is.True(errors.As(err, &problem))
			s.is.Equal(problem.Reason, "invalid")
			s.is.True(strings.Contains(*problem.Detail, clash.holder))
		}
		listed, err := s.operator(0).ListOrganisations(t.Context(), &operator.ListOrganisationsPayload{Token: &opsToken, Limit: 10})
		s.is.NoErr(err)
		s.is.Equal(len(listed), 1)
		s.is.Equal(listed[0].Name, "seyhan")
	})
}
