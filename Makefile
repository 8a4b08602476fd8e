# Checks as CI runs them.
.PHONY: check
check:
	bash .ci/run

# Random sequences against the oracle until one breaks a promise or it is
# stopped, each round with a fresh seed. A failure names its seed:
# go test ./proof -run NAME -rapid.seed=SEED -rapid.checks=1
FUZZ_SEQUENCES ?= 10000
.PHONY: fuzz
fuzz:
	set -e; while :; do \
	  go test ./proof -count=1 -v -timeout 0 -run 'TestOracleUnderFaults|TestGentleSequencesLoseNothing' \
	    -rapid.seed=$$(date +%s%N) -rapid.checks=$(FUZZ_SEQUENCES); \
	done

# What reads text from outside, for FUZZ_TIME each.
FUZZ_TIME ?= 30s
.PHONY: fuzz-text
fuzz-text:
	go test ./relay -run '^$$' -fuzz FuzzParseEventID -fuzztime $(FUZZ_TIME)
	go test ./record -run '^$$' -fuzz FuzzParseKey -fuzztime $(FUZZ_TIME)
	go test ./platform -run '^$$' -fuzz FuzzDecodeServer -fuzztime $(FUZZ_TIME)
	go test ./platform -run '^$$' -fuzz FuzzDecodeConfiguration -fuzztime $(FUZZ_TIME)
	go test ./contract -run '^$$' -fuzz FuzzParseDocument -fuzztime $(FUZZ_TIME)
