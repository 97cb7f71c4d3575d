package io.wagtailmux.decision.capacity;

import java.util.Map;
import java.util.Set;

import io.wagtailmux.model.AvailabilityZoneId;

/**
 * State of a pool at one moment.
 *
 * @param places the places at endpoints that callers need
 * @param placesPerEndpoint the requests that one endpoint runs at a time
 * @param present the endpoints that are registered and not leaving, by availability zone;
 * zones of which all endpoints are gone are missing
 * @param evacuated the zones whose endpoints get no requests
 * @author the wagtailmux developers
 */
public record CapacityState(double places, int placesPerEndpoint, Map<AvailabilityZoneId, Integer> present,
		Set<AvailabilityZoneId> evacuated) {

	/**
	 * Returns how many zones can take requests.
	 * @return the number of zones with endpoints that are not evacuated
	 */
	int usableZones() {
		return (int) this.present.keySet().stream().filter((zone) -> !this.evacuated.contains(zone)).count();
	}

}
