package io.wagtailmux.decision.claim;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimVerdictTests {

	@ParameterizedTest
	@CsvSource({ "CLAIMED, mine, same, RUN", "CLAIMED, other, same, UNRESOLVED", "DONE, other, same, REPLAY",
			"DONE, mine, same, REPLAY", "RELEASED, other, same, CLAIM_AGAIN", "UNKNOWN, other, same, UNRESOLVED",
			"UNKNOWN, mine, same, UNRESOLVED", "CLAIMED, other, different, MISMATCH",
			"DONE, other, different, MISMATCH", "RELEASED, other, different, MISMATCH" })
	void onlyTheHolderOfAnUnfinishedClaimRuns(ClaimState state, String attempt, String digest, ClaimVerdict verdict) {
		Claim recorded = new Claim(attempt, "instance", "request", digest, state, "{}");
		assertThat(ClaimVerdict.of(recorded, "mine", "same")).isEqualTo(verdict);
	}

}
