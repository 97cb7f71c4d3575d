package io.wagtailmux.store.configuration;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import io.wagtailmux.model.AvailabilityZone;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.Contract;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.Labels;
import io.wagtailmux.model.Link;
import io.wagtailmux.model.Organisation;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.model.Pipeline;
import io.wagtailmux.model.PipelineId;
import io.wagtailmux.model.Pool;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.Selector;
import io.wagtailmux.model.Stage;
import io.wagtailmux.model.StageName;
import io.wagtailmux.model.StageProtocol;
import io.wagtailmux.model.SystemConfiguration;
import io.wagtailmux.model.VersionId;
import io.wagtailmux.store.ini.IniException;
import io.wagtailmux.store.ini.IniFile;
import io.wagtailmux.store.ini.IniSection;
import io.wagtailmux.store.ini.NearestName;
import io.wagtailmux.store.ini.Problem;

/**
 * Reads and validates the system's configuration, which is written as an INI text.
 *
 * <p>
 * A section's name consists of a kind and an id, such as {@code [pool reader-voices]}. A
 * link is named by the ids of its two availability zones, a stage by its pipeline's id
 * and its own name, separated by a slash. The section {@code [system]} has no id.
 *
 * @author the wagtailmux developers
 */
public final class ConfigurationFormat {

	private static final Set<String> KINDS = Set.of("availability-zone", "link", "pool", "endpoint", "pipeline",
			"stage", "organisation", "system");

	private final IniFile file;

	private final Map<AvailabilityZoneId, AvailabilityZone> zones = new LinkedHashMap<>();

	private final List<Link> links = new ArrayList<>();

	private final Map<PoolId, Pool> pools = new LinkedHashMap<>();

	private final Map<EndpointId, Endpoint> endpoints = new LinkedHashMap<>();

	private final Map<String, Stage> stages = new LinkedHashMap<>();

	private final Map<PipelineId, Pipeline> pipelines = new LinkedHashMap<>();

	private final Map<OrganisationId, Organisation> organisations = new LinkedHashMap<>();

	private ConfigurationFormat(IniFile file) {
		this.file = file;
	}

	/**
	 * Reads a configuration and checks values, references and constraints.
	 * @param text the INI text
	 * @return the configuration
	 * @throws IniException with every problem that was found
	 */
	public static SystemConfiguration read(String text) {
		ConfigurationFormat format = new ConfigurationFormat(IniFile.read(text));
		format.rejectUnknownKinds();
		int slots = format.readSystem();
		format.forEachSection("availability-zone", format::readZone);
		format.forEachSection("link", format::readLink);
		format.forEachSection("pool", format::readPool);
		format.forEachSection("endpoint", format::readEndpoint);
		format.forEachSection("stage", format::readStage);
		format.forEachSection("pipeline", format::readPipeline);
		format.forEachSection("organisation", format::readOrganisation);
		format.file.throwIfInvalid();
		return new SystemConfiguration(slots, format.zones, format.links, format.pools, format.endpoints,
				format.pipelines, format.organisations);
	}

	private void rejectUnknownKinds() {
		for (String name : this.file.sectionNames()) {
			String kind = name.split(" ", 2)[0];
			if (!KINDS.contains(kind)) {
				this.file.report(new Problem(name, "", "unknown kind of section" + NearestName.hint(kind, KINDS)));
			}
		}
	}

	private void forEachSection(String kind, SectionHandler handler) {
		for (String name : this.file.sectionNames()) {
			if (name.startsWith(kind + " ")) {
				handler.read(this.file.section(name), name.substring(kind.length() + 1).trim());
			}
		}
	}

	private int readSystem() {
		IniSection section = this.file.section("system");
		Integer slots = section.optional("slots", SystemConfiguration.DEFAULT_SLOTS, Integer::valueOf);
		section.rejectUnknownKeys();
		return (slots != null) ? slots : SystemConfiguration.DEFAULT_SLOTS;
	}

	private void readZone(IniSection section, String id) {
		String region = section.required("region", Function.identity());
		Labels labels = section.optional("labels", Labels.NONE, Labels::of);
		boolean out = section.optional("out", false, ConfigurationFormat::toBoolean) == Boolean.TRUE;
		section.build(() -> new AvailabilityZone(new AvailabilityZoneId(id), region, labels, out))
			.ifPresent((zone) -> this.zones.put(zone.id(), zone));
	}

	private void readLink(IniSection section, String zoneNames) {
		Duration delay = section.required("one-way-delay", Duration::parse);
		String[] ids = zoneNames.split("\\s+");
		if (ids.length != 2) {
			section.report("", "a link section must name two availability zones");
			return;
		}
		Optional<AvailabilityZoneId> from = reference(section, "", ids[0], AvailabilityZoneId::new, this.zones);
		Optional<AvailabilityZoneId> to = reference(section, "", ids[1], AvailabilityZoneId::new, this.zones);
		section.build(() -> new Link(from.get(), to.get(), delay)).ifPresent(this.links::add);
	}

	private void readPool(IniSection section, String id) {
		StageProtocol protocol = section.required("protocol", ConfigurationFormat::toProtocol);
		Boolean idempotent = section.required("idempotent", ConfigurationFormat::toBoolean);
		Integer coldLimit = section.optional("cold-limit", 1, Integer::valueOf);
		Integer warmLimit = section.required("warm-limit", Integer::valueOf);
		Integer warmAfter = section.optional("warm-after", 2, Integer::valueOf);
		Duration serviceTime = section.optional("expected-service-time", Duration.ofMillis(100), Duration::parse);
		Integer queueLimit = section.optional("queue-limit", 256, Integer::valueOf);
		section
			.build(() -> new Pool(new PoolId(id), protocol, idempotent, new Contract(coldLimit, warmLimit, warmAfter),
					serviceTime, queueLimit))
			.ifPresent((pool) -> this.pools.put(pool.id(), pool));
	}

	private void readEndpoint(IniSection section, String id) {
		Optional<PoolId> pool = requiredReference(section, "pool", PoolId::new, this.pools);
		Optional<AvailabilityZoneId> zone = requiredReference(section, "availability-zone", AvailabilityZoneId::new,
				this.zones);
		VersionId version = section.required("version", VersionId::new);
		URI address = section.required("address", ConfigurationFormat::toHttpAddress);
		Labels labels = section.optional("labels", Labels.NONE, Labels::of);
		boolean leaving = section.optional("leaving", false, ConfigurationFormat::toBoolean) == Boolean.TRUE;
		section.build(() -> new Endpoint(new EndpointId(id), pool.get(), zone.get(), version, address, labels, leaving))
			.ifPresent((endpoint) -> this.endpoints.put(endpoint.id(), endpoint));
	}

	private void readStage(IniSection section, String path) {
		Optional<PoolId> pool = requiredReference(section, "pool", PoolId::new, this.pools);
		Selector selector = section.optional("selector", Selector.EVERYTHING, Selector::of);
		int slash = path.indexOf('/');
		if (slash < 1) {
			section.report("", "a stage section must be named by pipeline and stage, separated by a slash");
			return;
		}
		section.build(() -> new Stage(new StageName(path.substring(slash + 1)), pool.get(), selector))
			.ifPresent((stage) -> this.stages.put(path, stage));
	}

	private void readPipeline(IniSection section, String id) {
		Duration timeout = section.optional("timeout", Duration.ofSeconds(5), Duration::parse);
		List<String> names = section.required("stages", ConfigurationFormat::toNames);
		List<Stage> pipelineStages = new ArrayList<>();
		for (String name : (names != null) ? names : List.<String>of()) {
			Stage stage = this.stages.get(id + "/" + name);
			if (stage == null) {
				section.report("stages", "there is no valid section [stage " + id + "/" + name + "]");
			}
			pipelineStages.add(stage);
		}
		section.build(() -> new Pipeline(new PipelineId(id), pipelineStages, timeout)).ifPresent((pipeline) -> {
			this.pipelines.put(pipeline.id(), pipeline);
			checkNonIdempotentStages(section, pipeline);
		});
	}

	private void checkNonIdempotentStages(IniSection section, Pipeline pipeline) {
		long nonIdempotent = pipeline.stages()
			.stream()
			.filter((stage) -> !this.pools.get(stage.pool()).idempotent())
			.count();
		if (nonIdempotent > 1) {
			section.report("stages", nonIdempotent + " stages are not idempotent; a pipeline may have at most one");
		}
	}

	private void readOrganisation(IniSection section, String id) {
		String digest = section.required("token-sha256", Function.identity());
		Integer weight = section.optional("weight", 1, Integer::valueOf);
		section.build(() -> new Organisation(new OrganisationId(id), digest, weight)).ifPresent((organisation) -> {
			boolean shared = this.organisations.values()
				.stream()
				.anyMatch((other) -> other.tokenDigest().equals(organisation.tokenDigest()));
			if (shared) {
				section.report("token-sha256", "another organisation has the same token");
			}
			this.organisations.put(organisation.id(), organisation);
		});
	}

	private static <I> Optional<I> requiredReference(IniSection section, String key, Function<String, I> createId,
			Map<I, ?> existing) {
		String text = section.required(key, Function.identity());
		return (text != null) ? reference(section, key, text, createId, existing) : Optional.empty();
	}

	// After a reported problem IniSection.build does not call its argument, which may
	// therefore use the result of this method without a check.
	private static <I> Optional<I> reference(IniSection section, String key, String text, Function<String, I> createId,
			Map<I, ?> existing) {
		List<String> names = existing.keySet().stream().map(Object::toString).toList();
		if (!names.contains(text)) {
			section.report(key, "'" + text + "' does not exist" + NearestName.hint(text, names));
			return Optional.empty();
		}
		return Optional.of(createId.apply(text));
	}

	private static Boolean toBoolean(String text) {
		return switch (text) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			default -> throw new IllegalArgumentException("must be true or false");
		};
	}

	private static StageProtocol toProtocol(String text) {
		return Arrays.stream(StageProtocol.values())
			.filter((protocol) -> protocol.name().equalsIgnoreCase(text))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("must be completions, inference or service"));
	}

	private static URI toHttpAddress(String text) {
		URI address = URI.create(text);
		if (!"http".equals(address.getScheme()) && !"https".equals(address.getScheme())) {
			throw new IllegalArgumentException("must begin with http:// or https://");
		}
		return address;
	}

	private static List<String> toNames(String text) {
		return Arrays.stream(text.split(",")).map(String::trim).toList();
	}

	/**
	 * Reads a section of one kind.
	 */
	@FunctionalInterface
	private interface SectionHandler {

		void read(IniSection section, String id);

	}

}
