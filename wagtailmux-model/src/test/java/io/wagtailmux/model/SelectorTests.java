package io.wagtailmux.model;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class SelectorTests {

	private static final Labels LABELS = Labels.of("version=v2, tier=gold");

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			''                              | true
			version=v2                      | true
			version==v2                     | true
			version=v1                      | false
			version!=v1                     | true
			missing!=v1                     | true
			tier in (gold,silver)           | true
			tier in (silver)                | false
			tier notin (silver)             | true
			tier notin (gold)               | false
			tier                            | true
			!tier                           | false
			!missing                        | true
			version=v2,tier in (gold, lead) | true
			version=v2,tier=lead            | false
			""")
	void evaluatesEachFormOfRequirement(String selector, boolean expected) {
		assertThat(Selector.of(selector).matches(LABELS)).isEqualTo(expected);
	}

	@ParameterizedTest
	@ValueSource(strings = { "=", "a=b=c", "a in b", "a in (b", "a,,b", "a b", "-a=b", "a=b," })
	void reportsMalformedSelector(String selector) {
		assertThatExceptionOfType(ModelException.class)
			.isThrownBy(() -> Selector.of(selector).matches(Labels.of("x=y")))
			.withMessageContaining(selector)
			.extracting(ModelException::code)
			.isEqualTo(ModelErrorCode.INVALID_SELECTOR);
	}

	@ParameterizedTest
	@ValueSource(strings = { "a", "a=b,a=c", "a=b c" })
	void rejectsMalformedLabels(String labels) {
		assertThatExceptionOfType(ModelException.class).isThrownBy(() -> Labels.of(labels));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", " ", "a b", "../x", "-a", "é" })
	void rejectsMalformedIds(String text) {
		assertThatExceptionOfType(ModelException.class).isThrownBy(() -> new PoolId(text))
			.withMessageContaining("PoolId");
	}

}
