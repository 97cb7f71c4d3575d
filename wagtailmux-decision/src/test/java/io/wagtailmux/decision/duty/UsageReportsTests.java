package io.wagtailmux.decision.duty;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.model.StoreVersion;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UsageReports} and {@link UsageCollection} of one holder.
 */
class UsageReportsTests {

	private static final UsageTiming TIMING = new UsageTiming(Duration.ofSeconds(5), Duration.ofSeconds(10));

	private static final FencingToken TOKEN = new FencingToken(1);

	private static final OrganisationId ORGANISATION = new OrganisationId("listeners");

	private static final InstanceId SELF = new InstanceId("instance-1");

	private static final InstanceId OTHER = new InstanceId("instance-2");

	private static final long WINDOW = 1000;

	private final UsageCollection collection = new UsageCollection(TIMING);

	private final UsageReports reports = new UsageReports(TIMING, this.collection);

	@Test
	void aReportWaitsForAllInstancesButNotUntilItIsDue() {
		count(SELF, 1, 7);
		this.reports.next(TOKEN, Set.of(SELF, OTHER), Duration.ZERO, afterEnd(1));
		this.reports.onRead(TOKEN, List.of(), 1, afterEnd(1));
		assertThat(step(afterEnd(1))).isInstanceOf(UsageStep.Wait.class);
		assertThat(step(afterEnd(6))).isInstanceOf(UsageStep.Wait.class);
		assertThat(step(afterEnd(7))).isInstanceOf(UsageStep.Fix.class);
	}

	@Test
	void countsOfAProcessThatWasKilledStayAndThoseOfItsSuccessorAreAdded() {
		count(SELF, 1, 7);
		count(OTHER, 1, 3);
		count(OTHER, 1, 5);
		count(OTHER, 1, 4);
		count(OTHER, 2, 2);
		assertThat(this.collection.counts(WINDOW)).containsEntry(ORGANISATION, 14L);
	}

	/** A row that another program has overwritten must not hold up its next window. */
	@Test
	void aRowThatCannotBeDecodedIsReplaced() {
		count(SELF, 1, 7);
		this.collection.onCurrentWindow(OTHER, WINDOW + 1);
		this.collection.onCurrentWindow(SELF, WINDOW + 1);
		this.reports.next(TOKEN, Set.of(SELF, OTHER), Duration.ZERO, afterEnd(1));
		StoreVersion version = new StoreVersion(1, 77);
		this.reports.onRead(TOKEN, List.of(new FixedReport(UsageReports.unreadable(UsageReports.row(WINDOW)), version)),
				1, afterEnd(1));
		assertThat(step(afterEnd(1)))
			.isEqualTo(new UsageStep.Fix(new UsageReport(WINDOW, Map.of(ORGANISATION, 7L)), version));
	}

	private UsageStep step(Duration sinceEpoch) {
		return this.reports.next(TOKEN, Set.of(SELF, OTHER), Duration.ZERO, sinceEpoch);
	}

	private void count(InstanceId instance, long incarnation, long requests) {
		this.collection.merge(new DutyHolder(instance, incarnation), WINDOW, Map.of(ORGANISATION, requests));
	}

	private static Duration afterEnd(long seconds) {
		return TIMING.end(WINDOW).plusSeconds(seconds);
	}

}
