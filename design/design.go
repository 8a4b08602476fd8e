// Package design is the contract of papayasail's HTTP interfaces, towards
// callers and towards operators. The code under gen/ is generated from it:
// see CONTRIBUTING.md.
package design

import . "goa.design/goa/v3/dsl"

var _ = API("papayasail", func() {
	Title("papayasail")
	Description("Serves model generations of unknown length on crowded engines.")
	Version("1")
	Server("entryhost", func() {
		Services("caller", "operator")
		Host("local", func() { URI("http://127.0.0.1:7480") })
	})
})

// Bearer tokens name an organisation (caller) or an operator. Settings hold
// their hashes only.
var Bearer = JWTSecurity("bearer", func() {
	Description("Authorization: Bearer TOKEN")
})

// Problem is an RFC 9457 problem document.
var Problem = Type("Problem", func() {
	Description("Why a request was refused, what became of it and when to come back (RFC 9457).")
	ErrorName("name", String, "Error class")
	Attribute("type", String, "URI reference of the reason", func() { Example("urn:papayasail:overloaded") })
	Attribute("title", String, "Reason in words")
	Attribute("status", Int, "HTTP status")
	Attribute("detail", String, "What happened")
	Attribute("outcome", String, "What became of the request", func() { Enum("done", "not_run", "unknown") })
	Attribute("reason", String, "Stable reason code")
	Attribute("retry_after_ms", Int64, "When to come back, in milliseconds; absent: not with this request")
	Attribute("findings", ArrayOf(Finding), "Mistakes found in a document")
	Required("name", "type", "title", "status", "outcome", "reason")
})

// Finding is one mistake in a document, with its place.
var Finding = Type("Finding", func() {
	Attribute("file", String)
	Attribute("line", Int)
	Attribute("column", Int)
	Attribute("message", String)
	Required("file", "line", "column", "message")
})

// Address is an entry host that a caller may use.
var Address = Type("Address", func() {
	Attribute("url", String, "Base URL", func() { Example("http://10.0.0.1:7480") })
	Attribute("host", String, "Name of the entry host")
	Attribute("failure_domain", String)
	Attribute("home", String, "Prefix for Idempotency-Key values sent to any address; at most keep_seconds old")
	Required("url", "host", "failure_domain", "home")
})

// Addresses is the answer to which entry hosts to use.
var Addresses = ResultType("application/vnd.papayasail.addresses", "Addresses", func() {
	Attributes(func() {
		Attribute("addresses", ArrayOf(Address), "Best first")
		Attribute("keep_seconds", Int, "How long to keep this answer")
		Required("addresses", "keep_seconds")
	})
})

// TokenEvent is one server-sent event of a generation.
var TokenEvent = Type("TokenEvent", func() {
	Attribute("id", String, "Event id; send the last one as Last-Event-ID to resume at any address")
	Attribute("index", Int, "Offset of the token, from 0; for the end event the token count")
	Attribute("text", String, "Token")
	Attribute("finish_reason", String, "In the end event only", func() { Enum("stop", "length", "cancelled") })
	Attribute("tokens", Int, "In the end event only: tokens of the whole generation")
	Required("id", "index", "text")
})

var _ = Service("caller", func() {
	Description("What callers use.")
	Security(Bearer)
	Error("refused", Problem)
	Error("unauthorized", Problem)
	HTTP(func() {
		Response("refused", StatusServiceUnavailable, func() { ContentType("application/problem+json") })
		Response("unauthorized", StatusUnauthorized, func() { ContentType("application/problem+json") })
	})

	Method("addresses", func() {
		Description("Which entry hosts to use, and for how long to keep the answer. Leaving entry hosts are not given.")
		Payload(func() {
			Token("token", String)
			Attribute("failure_domain", String, "Failure domain nearest to the caller")
		})
		Result(Addresses)
		HTTP(func() {
			GET("/v1/addresses")
			Param("failure_domain")
			Response(StatusOK)
		})
	})

	Method("generate", func() {
		Description("Generate with a model service. Answers with server-sent events: event 'token' for each token and one event 'end'. Without 'end' the answer is not whole. With Last-Event-ID the stream is taken up behind that event. Served by the relay package, mounted on this route.")
		Payload(func() {
			Token("token", String)
			Attribute("service", String)
			Attribute("prompt", String)
			Attribute("max_tokens", Int, func() { Minimum(0) })
			Attribute("idempotency_key", String, "Required where the service's generations are not idempotent: HOME.UNIQUE")
			Attribute("last", String, "Id of the last event received")
			Required("service")
		})
		StreamingResult(TokenEvent)
		HTTP(func() {
			POST("/v1/services/{service}/generations")
			Header("idempotency_key:Idempotency-Key")
			Header("last:Last-Event-ID")
			ServerSentEvents(func() { SSEEventID("id") })
		})
	})

	Method("call", func() {
		Description("Exact call to a plain service: method, path, query and body are passed through and one whole answer comes back. Served by the relay package, mounted on this route.")
		Payload(func() {
			Token("token", String)
			Attribute("service", String)
			Attribute("path", String)
			Attribute("idempotency_key", String, "Required for calls that are not idempotent: HOME.UNIQUE")
			Required("service", "path")
		})
		HTTP(func() {
			GET("/v1/services/{service}/call/{*path}")
			POST("/v1/services/{service}/call/{*path}")
			PUT("/v1/services/{service}/call/{*path}")
			PATCH("/v1/services/{service}/call/{*path}")
			DELETE("/v1/services/{service}/call/{*path}")
			Header("idempotency_key:Idempotency-Key")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK)
		})
	})
})

// Change is an entry of the audit trail.
var Change = Type("Change", func() {
	Attribute("change_id", String)
	Attribute("who", String)
	Attribute("when", String, func() { Format(FormatDateTime) })
	Attribute("what", String, "document, drain, evacuation, organisation, order or settled")
	Attribute("name", String, "Service, backend server or organisation")
	Attribute("from_version", UInt64)
	Attribute("to_version", UInt64)
	Attribute("detail", String)
	Required("change_id", "who", "when", "what", "name", "from_version", "to_version")
})

// ServiceInfo names a service and the version in force on the answering host.
var ServiceInfo = Type("ServiceInfo", func() {
	Attribute("service", String)
	Attribute("version", UInt64)
	Attribute("owner", String)
	Attribute("kind", String)
	Required("service", "version", "owner", "kind")
})

// Accepted is the answer to a change.
var Accepted = Type("Accepted", func() {
	Attribute("change_id", String)
	Attribute("outcome", String, func() { Enum("accepted", "not_accepted", "unknown") })
	Attribute("version", UInt64, "Version that was accepted, or the current one")
	Attribute("settle", String, "Command that settles an unknown outcome later")
	Required("change_id", "outcome", "version")
})

// BackendServerStatus is one backend server as the answering host sees it.
var BackendServerStatus = Type("BackendServerStatus", func() {
	Attribute("service", String)
	Attribute("name", String)
	Attribute("address", String)
	Attribute("failure_domain", String)
	Attribute("state", String, func() { Enum("ready", "leaving", "ejected", "unreachable", "unloaded") })
	Attribute("running", Int)
	Attribute("tokens_held", Int)
	Attribute("token_capacity", Int)
	Required("service", "name", "address", "failure_domain", "state")
})

// MemberStatus is one entry host as the answering host sees it.
var MemberStatus = Type("MemberStatus", func() {
	Attribute("host", String)
	Attribute("incarnation", UInt64)
	Attribute("failure_domain", String)
	Attribute("state", String, func() { Enum("alive", "suspect", "leaving", "gone") })
	Attribute("configuration_version", UInt64, "Newest version in force there, as last heard")
	Attribute("caller_address", String)
	Required("host", "incarnation", "failure_domain", "state", "configuration_version")
})

// Status is what an entry host knows.
var HostStatus = Type("HostStatus", func() {
	Attribute("host", String)
	Attribute("configuration_version", UInt64)
	Attribute("services", ArrayOf(ServiceInfo))
	Attribute("backend_servers", ArrayOf(BackendServerStatus))
	Attribute("members", ArrayOf(MemberStatus))
	Attribute("store_reachable", Boolean)
	Required("host", "configuration_version", "services", "backend_servers", "members", "store_reachable")
})

// OrganisationInfo is an organisation in force on the answering host.
var OrganisationInfo = Type("OrganisationInfo", func() {
	Attribute("name", String)
	Attribute("token_sha256", ArrayOf(String))
	Attribute("services", ArrayOf(String), "None: all")
	Attribute("version", UInt64, "Version of the change that made it")
	Required("name", "token_sha256", "version")
})

func operatorToken() { Token("token", String) }

var _ = Service("operator", func() {
	Description("What operators and owning teams use.")
	Security(Bearer)
	Error("unauthorized", Problem)
	Error("invalid", Problem)
	Error("conflict", Problem)
	Error("not_found", Problem)
	Error("unavailable", Problem)
	HTTP(func() {
		Response("unauthorized", StatusUnauthorized, func() { ContentType("application/problem+json") })
		Response("invalid", StatusUnprocessableEntity, func() { ContentType("application/problem+json") })
		Response("conflict", StatusConflict, func() { ContentType("application/problem+json") })
		Response("not_found", StatusNotFound, func() { ContentType("application/problem+json") })
		Response("unavailable", StatusServiceUnavailable, func() { ContentType("application/problem+json") })
	})

	Method("put", func() {
		Description("Put a service document in force, on condition that the current version is the expected one.")
		Payload(func() {
			operatorToken()
			Attribute("service", String)
			Attribute("document", String, "YAML")
			Attribute("expect_version", UInt64, "0: the service must be new")
			Attribute("change_id", String, "Chosen by the operator; repeats with the same id are one change")
			Required("service", "document", "expect_version", "change_id")
		})
		Result(Accepted)
		HTTP(func() { PUT("/v1/operator/services/{service}"); Response(StatusOK) })
	})

	Method("get", func() {
		Payload(func() { operatorToken(); Attribute("service", String); Required("service") })
		Result(func() {
			Attribute("service", String)
			Attribute("version", UInt64)
			Attribute("document", String)
			Required("service", "version", "document")
		})
		HTTP(func() { GET("/v1/operator/services/{service}"); Response(StatusOK) })
	})

	Method("list", func() {
		Payload(func() { operatorToken() })
		Result(ArrayOf(ServiceInfo))
		HTTP(func() { GET("/v1/operator/services"); Response(StatusOK) })
	})

	Method("history", func() {
		Description("Changes of one service, newest first.")
		Payload(func() { operatorToken(); Attribute("service", String); Required("service") })
		Result(ArrayOf(Change))
		HTTP(func() { GET("/v1/operator/services/{service}/history"); Response(StatusOK) })
	})

	Method("settle", func() {
		Description("Whether a change with an unknown outcome was accepted.")
		Payload(func() {
			operatorToken()
			Attribute("service", String)
			Attribute("change_id", String)
			Required("service", "change_id")
		})
		Result(Accepted)
		HTTP(func() { GET("/v1/operator/services/{service}/changes/{change_id}"); Response(StatusOK) })
	})

	Method("audit", func() {
		Description("Audit trail, newest first.")
		Payload(func() { operatorToken() })
		Result(ArrayOf(Change))
		HTTP(func() { GET("/v1/operator/audit"); Response(StatusOK) })
	})

	Method("status", func() {
		Payload(func() { operatorToken() })
		Result(HostStatus)
		HTTP(func() { GET("/v1/operator/status"); Response(StatusOK) })
	})

	Method("drain", func() {
		Description("Mark a backend server as leaving (or end that): it gets no new work anywhere.")
		Payload(func() {
			operatorToken()
			Attribute("address", String, "IP:port of the backend server")
			Attribute("end", Boolean, "End the drain", func() { Default(false) })
			Attribute("change_id", String)
			Required("address", "change_id")
		})
		Result(Accepted)
		HTTP(func() { POST("/v1/operator/backend_servers/{address}/drain"); Response(StatusOK) })
	})

	Method("evacuate", func() {
		Description("Keep new work from all backend servers of a failure domain (or end that).")
		Payload(func() {
			operatorToken()
			Attribute("failure_domain", String)
			Attribute("end", Boolean, "End the evacuation", func() { Default(false) })
			Attribute("change_id", String)
			Required("failure_domain", "change_id")
		})
		Result(Accepted)
		HTTP(func() { POST("/v1/operator/failure_domains/{failure_domain}/evacuation"); Response(StatusOK) })
	})

	Method("put_organisation", func() {
		Description("Put an organisation in force, on condition that its current version is the expected one.")
		Payload(func() {
			operatorToken()
			Attribute("name", String)
			Attribute("token_sha256", ArrayOf(String), "SHA-256 of each of its tokens, hexadecimal; several while one replaces another")
			Attribute("services", ArrayOf(String), "Services that it may use; none: all")
			Attribute("expect_version", UInt64, "0: the organisation must be new")
			Attribute("change_id", String, "Chosen by the operator; repeats with the same id are one change")
			Required("name", "token_sha256", "expect_version", "change_id")
		})
		Result(Accepted)
		HTTP(func() { PUT("/v1/operator/organisations/{name}"); Response(StatusOK) })
	})

	Method("remove_organisation", func() {
		Description("Remove an organisation, on condition that its current version is the expected one: none of its tokens is taken any more.")
		Payload(func() {
			operatorToken()
			Attribute("name", String)
			Attribute("expect_version", UInt64)
			Attribute("change_id", String)
			Required("name", "expect_version", "change_id")
		})
		Result(Accepted)
		HTTP(func() {
			DELETE("/v1/operator/organisations/{name}")
			Param("expect_version")
			Param("change_id")
			Response(StatusOK)
		})
	})

	Method("settle_organisation", func() {
		Description("Whether a change to an organisation with an unknown outcome was accepted.")
		Payload(func() {
			operatorToken()
			Attribute("name", String)
			Attribute("change_id", String)
			Required("name", "change_id")
		})
		Result(Accepted)
		HTTP(func() { GET("/v1/operator/organisations/{name}/changes/{change_id}"); Response(StatusOK) })
	})

	Method("list_organisations", func() {
		Description("Organisations that are in force on the answering host, ordered by name; those that stand in its settings are not among them.")
		Payload(func() {
			operatorToken()
			Attribute("name", String, "Only this one")
			Attribute("after", String, "Only names behind this one, for the next page")
			Attribute("limit", Int, "Longest page", func() { Default(1000); Minimum(1); Maximum(1000) })
		})
		Result(ArrayOf(OrganisationInfo))
		HTTP(func() {
			GET("/v1/operator/organisations")
			Param("name")
			Param("after")
			Param("limit")
			Response(StatusOK)
		})
	})
})
