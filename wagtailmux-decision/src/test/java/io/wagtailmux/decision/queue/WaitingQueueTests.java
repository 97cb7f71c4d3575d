package io.wagtailmux.decision.queue;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.wagtailmux.decision.Ticket;
import io.wagtailmux.model.CallId;
import io.wagtailmux.model.Organisation;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.model.RequestId;
import io.wagtailmux.model.Selector;
import io.wagtailmux.model.StageName;

import static org.assertj.core.api.Assertions.assertThat;

class WaitingQueueTests {

	private static final Duration COST = Duration.ofMillis(50);

	private int number;

	@ParameterizedTest
	@EnumSource(QueuePolicy.class)
	void everyTicketIsServedOnce(QueuePolicy policy) {
		WaitingQueue queue = policy.create();
		for (int round = 0; round < 50; round++) {
			queue.add(ticket("large", 1, round), COST);
			queue.add(ticket("small", 1, round), COST);
		}
		Map<String, Integer> served = new HashMap<>();
		Optional<Ticket> next = queue.poll((ticket) -> true);
		while (next.isPresent()) {
			served.merge(next.get().call().toString(), 1, Integer::sum);
			next = queue.poll((ticket) -> true);
		}
		assertThat(served).hasSize(100).values().allMatch((count) -> count == 1);
		assertThat(queue.size()).isZero();
	}

	@ParameterizedTest
	@EnumSource(value = QueuePolicy.class, names = { "FAIR", "FAIR_SPARSE_FIRST" })
	void aBurstOfOneOrganisationDoesNotDelayAnother(QueuePolicy policy) {
		WaitingQueue queue = policy.create();
		for (int count = 0; count < 200; count++) {
			queue.add(ticket("large", 1, count), COST);
		}
		Ticket small = ticket("small", 1, 10_000);
		queue.add(small, COST);
		int position = 1;
		while (queue.poll((ticket) -> true).orElseThrow() != small) {
			position++;
		}
		assertThat(position).isLessThanOrEqualTo(5);
	}

	@ParameterizedTest
	@EnumSource(value = QueuePolicy.class, names = { "FAIR", "FAIR_SPARSE_FIRST" })
	void ticketsAreServedInProportionToWeights(QueuePolicy policy) {
		WaitingQueue queue = policy.create();
		for (int count = 0; count < 300; count++) {
			queue.add(ticket("heavy", 3, count), COST);
			queue.add(ticket("light", 1, count), COST);
		}
		int heavy = 0;
		for (int count = 0; count < 200; count++) {
			String organisation = queue.poll((ticket) -> true).orElseThrow().organisation().id().value();
			heavy += "heavy".equals(organisation) ? 1 : 0;
		}
		assertThat(heavy).isBetween(140, 160);
	}

	// In FQ-CoDel, many sparse flows can starve the others, since each is served first
	// whenever it becomes active.
	@ParameterizedTest
	@EnumSource(value = QueuePolicy.class, names = { "FAIR", "FAIR_SPARSE_FIRST" })
	void manySparseOrganisationsDoNotStarveALargeOne(QueuePolicy policy) {
		WaitingQueue queue = policy.create();
		for (int count = 0; count < 400; count++) {
			queue.add(ticket("large", 1, count), COST);
		}
		int large = 0;
		for (int round = 0; round < 400; round++) {
			queue.add(ticket("sparse-" + round % 40, 1, 100_000 + round), COST);
			String organisation = queue.poll((ticket) -> true).orElseThrow().organisation().id().value();
			large += "large".equals(organisation) ? 1 : 0;
		}
		assertThat(large).as("tickets of the large organisation, fair share of 400 among 41 is 9")
			.isGreaterThanOrEqualTo(9);
	}

	@Test
	void theEarliestDeadlineOfAnOrganisationIsServedFirst() {
		WaitingQueue queue = QueuePolicy.FAIR.create();
		Ticket late = ticket("a", 1, 500);
		Ticket early = ticket("a", 1, 100);
		queue.add(late, COST);
		queue.add(early, COST);
		assertThat(queue.poll((ticket) -> true)).contains(early);
		assertThat(queue.poll((ticket) -> true)).contains(late);
	}

	@ParameterizedTest
	@EnumSource(QueuePolicy.class)
	void aTicketThatCannotBeAssignedDoesNotBlockOthers(QueuePolicy policy) {
		WaitingQueue queue = policy.create();
		Ticket blocked = ticket("a", 1, 1);
		Ticket free = ticket("a", 1, 2);
		queue.add(blocked, COST);
		queue.add(free, COST);
		assertThat(queue.poll((ticket) -> ticket != blocked)).contains(free);
		assertThat(queue.remove(blocked)).isTrue();
		assertThat(queue.remove(blocked)).isFalse();
	}

	private Ticket ticket(String organisation, int weight, int deadlineMilliseconds) {
		this.number++;
		Organisation owner = new Organisation(new OrganisationId(organisation), "0".repeat(64), weight);
		return new Ticket(new CallId(new RequestId("r" + this.number), new StageName("s"), 1), owner,
				Selector.EVERYTHING, Set.of(), Duration.ofMillis(deadlineMilliseconds), Duration.ZERO);
	}

}
